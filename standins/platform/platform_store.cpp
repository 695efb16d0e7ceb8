/// \file platform_store.cpp
/// Serves the platform's HTTP interface from memory and applies the faults.
#include "platform/platform_store.hpp"

namespace standin {
namespace {

using namespace anvilmount;
using nlohmann::json;

http2_response status_only(int status) {
    return {.m_status = status, .m_body = "{}"};
}

}

result<void> platform_store::start() {
    BOOST_LEAF_ASSIGN(
        m_server, http2_server::listen(m_reactor, m_options.m_listen, [this](const auto& stream) {
            serve_request(stream, [this](const http2_request& request, response_sender respond) {
                handle_request(request, std::move(respond));
            });
        }));
    return {};
}

void platform_store::handle_request(const http2_request& request, response_sender respond) {
    const bool is_admin = request.m_path.starts_with("/admin/");
    if (m_down && !is_admin) {
        return; // No answer: the request times out.
    }
    const http2_response answer = dispatch(request);
    if (!is_admin && request.m_method == "PUT" && m_answers_to_drop > 0) {
        --m_answers_to_drop;
        return;
    }
    if (m_delay.count() == 0 || is_admin) {
        respond(answer);
        return;
    }
    m_reactor.after(m_delay, [respond = std::move(respond), answer] { respond(answer); });
}

http2_response platform_store::dispatch(const http2_request& request) {
    const std::string& path = request.m_path;
    const auto path_after = [&](const std::string& prefix) { return path.substr(prefix.size()); };
    (request.m_method == "PUT" ? m_writes : m_reads) += 1;
    if (path.starts_with("/table/")) {
        return handle_table(request, path_after("/table/"));
    }
    if (path.starts_with("/object/")) {
        return handle_object(request, path_after("/object/"));
    }
    if (path == "/instances") {
        return {.m_status = 200, .m_body = m_instances.dump()};
    }
    if (path.starts_with("/admin/")) {
        return handle_admin(request, path_after("/admin/"));
    }
    return status_only(404);
}

http2_response platform_store::handle_table(const http2_request& request, const std::string& key) {
    row& target = m_rows[key];
    if (request.m_method == "PUT") {
        const json body = json::parse(request.m_body, nullptr, false);
        if (!body.is_object() || !body.contains("expected_version") || !body.contains("value")) {
            return status_only(400);
        }
        if (body["expected_version"] != target.m_version) {
            return {.m_status = 409, .m_body = json{{"version", target.m_version}}.dump()};
        }
        ++target.m_version;
        target.m_value = body["value"];
    } else if (target.m_version == 0) {
        return status_only(404);
    }
    return {.m_status = 200,
            .m_body = json{{"version", target.m_version}, {"value", target.m_value}}.dump()};
}

http2_response platform_store::handle_object(const http2_request& request, const std::string& name) {
    if (request.m_method == "PUT") {
        const auto [found, added] = m_objects.emplace(name, request.m_body);
        return status_only(added || found->second == request.m_body ? 200 : 409);
    }
    const auto found = m_objects.find(name);
    return found == m_objects.end() ? status_only(404)
                                    : http2_response{.m_status = 200, .m_body = found->second};
}

http2_response platform_store::handle_admin(const http2_request& request, const std::string& command) {
    const json body = json::parse(request.m_body, nullptr, false);
    if (command == "instances") {
        m_reactor.after(m_options.m_list_lag, [this, body] { m_instances = body; });
        return status_only(200);
    }
    if (command == "fault" && body.is_object()) {
        m_down = body.value("down", m_down);
        m_delay = milliseconds{body.value("slow_ms", static_cast<int>(m_delay.count()))};
        m_answers_to_drop = body.value("lose_answers", m_answers_to_drop);
        return status_only(200);
    }
    if (command == "counts") {
        return {.m_status = 200, .m_body = json{{"reads", m_reads}, {"writes", m_writes}}.dump()};
    }
    return status_only(404);
}

}
