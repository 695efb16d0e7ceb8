/// \file operator_service.cpp
/// Routes operators' requests and translates failures to HTTP status codes and JSON.
#include "operator_service.hpp"

#include "anvilmount/control_store/configuration_record.hpp"
#include "anvilmount/control_store/configuration_store.hpp"
#include "anvilmount/observe/event_log.hpp"

#include <charconv>
#include <optional>

namespace anvilmount {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

http2_response success_response(const json& body) {
    return {.m_status = status_ok, .m_body = body.dump()};
}

http2_response error_response(const failure& why) {
    const int status = why.m_code == result_code::configuration_conflict ? status_conflict
                       : why.m_code == result_code::platform_unavailable ? status_unavailable
                                                                         : status_bad_request;
    const json body{{"code", number_of(why.m_code)},
                    {"name", std::string(traits_of(why.m_code).m_name)},
                    {"message", why.m_message}};
    return {.m_status = status, .m_body = body.dump()};
}

std::optional<std::uint64_t> parse_expected_revision(const std::string& path) {
    constexpr std::string_view key = "?expected=";
    const std::size_t at = path.find(key);
    if (at == std::string::npos) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    std::from_chars(path.data() + at + key.size(), path.data() + path.size(), value);
    return value;
}

}

result<switch_request> parse_switch_request(const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    const auto text = [&](const char* name) {
        return parsed.is_object() && parsed.contains(name) && parsed[name].is_string()
                   ? parsed[name].get<std::string>()
                   : std::string();
    };
    if (text("group").empty() || text("upstream").empty()) {
        return fail(result_code::unknown_operation,
                    "a switch needs the names of a group and of an upstream");
    }
    return switch_request{.m_group = {text("group")}, .m_upstream = {text("upstream")}};
}

std::string to_json_text(const switch_request& target) {
    return json{{"group", target.m_group.m_text}, {"upstream", target.m_upstream.m_text}}.dump();
}

http2_response operator_response(const std::optional<failure>& why) {
    return why ? error_response(*why) : success_response(json::object());
}

std::optional<failure> parse_operator_response(const http2_response& response) {
    if (response.m_status == status_ok) {
        return std::nullopt;
    }
    const json body = json::parse(response.m_body, nullptr, false);
    const bool has_code = body.is_object() && body.contains("code") && body["code"].is_number_integer();
    const auto code = has_code ? result_code_from_number(body["code"].get<int>()) : std::nullopt;
    return failure{.m_code = code.value_or(result_code::internal),
                   .m_message = has_code ? body.value("message", std::string())
                                         : "the other instance's answer cannot be read"};
}

operator_service::operator_service(reactor& loop, control_store_client& platform, handlers callbacks,
                                   std::uint32_t seed)
    : m_reactor(loop), m_platform(platform), m_handlers(std::move(callbacks)), m_random(seed) {}

result<void> operator_service::listen(const endpoint& address) {
    BOOST_LEAF_ASSIGN(m_server, http2_server::listen(m_reactor, address, [this](const auto& stream) {
                          serve_request(
                              stream, [this](const http2_request& request, const response_sender& respond) {
                                  serve(request, respond);
                              });
                      }));
    return {};
}

void operator_service::serve(const http2_request& request, const response_sender& respond) {
    const std::string path = request.m_path.substr(0, request.m_path.find('?'));
    if (request.m_method == "GET" && path == "/status") {
        respond(success_response(m_handlers.m_status()));
    } else if (request.m_method == "GET" && path == "/dump") {
        m_handlers.m_dump([respond](const json& state) { respond(success_response(state)); });
    } else if (request.m_method == "GET" && path == "/revisions") {
        m_handlers.m_revisions([respond](const json& revisions) { respond(success_response(revisions)); });
    } else if (request.m_method == "GET" && path == "/configuration") {
        read_configuration(respond);
    } else if (request.m_method == "PUT" && path == "/configuration") {
        apply(request, respond);
    } else if (request.m_method == "POST" && path == "/validate") {
        validate(request, respond);
    } else if (request.m_method == "POST" && path == "/switch") {
        switch_primary(request, respond);
    } else {
        respond(error_response({.m_code = result_code::unknown_operation,
                                .m_message = "there is no operation " + request.m_method + " " + path}));
    }
}

void operator_service::read_configuration(const response_sender& respond) {
    m_platform.read_row(
        std::string(configuration_row_key), [this, respond](std::variant<table_row, failure> outcome) {
            if (const auto* error = std::get_if<failure>(&outcome)) {
                respond(error_response(*error));
                return;
            }
            const auto row = read_revision_row(std::get<table_row>(outcome));
            if (!row) {
                respond(error_response({.m_code = result_code::configuration_missing,
                                        .m_message = "no configuration was applied yet"}));
                return;
            }
            m_platform.read_object(row->m_object, [respond, row](std::variant<std::string, failure> text) {
                if (const auto* error = std::get_if<failure>(&text)) {
                    respond(error_response(*error));
                    return;
                }
                respond(success_response(
                    {{"revision", row->m_revision}, {"text", std::get<std::string>(text)}}));
            });
        });
}

void operator_service::apply(const http2_request& request, const response_sender& respond) {
    const configuration_change change{.m_text = request.m_body,
                                      .m_change_id = new_change_id(),
                                      .m_expected_revision = parse_expected_revision(request.m_path)};
    apply_configuration(m_platform, change, [this, respond](std::variant<std::uint64_t, failure> outcome) {
        if (const auto* error = std::get_if<failure>(&outcome)) {
            respond(error_response(*error));
            return;
        }
        const std::uint64_t revision = std::get<std::uint64_t>(outcome);
        log_event(log_level::info, "configuration.applied", {{"revision", std::to_string(revision)}});
        m_handlers.m_poll();
        respond(success_response({{"revision", revision}}));
    });
}

void operator_service::validate(const http2_request& request, const response_sender& respond) {
    const auto parsed = value_or_failure([&] { return parse_configuration(request.m_body); });
    if (const auto* error = std::get_if<failure>(&parsed)) {
        respond(error_response(*error));
        return;
    }
    respond(success_response({{"valid", true}, {"groups", std::get<0>(parsed).m_groups.size()}}));
}

void operator_service::switch_primary(const http2_request& request, const response_sender& respond) {
    const auto parsed_switch = value_or_failure([&] { return parse_switch_request(request.m_body); });
    if (const auto* error = std::get_if<failure>(&parsed_switch)) {
        respond(error_response(*error));
        return;
    }
    const switch_request& wanted = std::get<switch_request>(parsed_switch);
    log_event(log_level::info, "operator.switch",
              {{"group", wanted.m_group.m_text}, {"upstream", wanted.m_upstream.m_text}});
    m_handlers.m_switch(wanted,
                        [respond](const std::optional<failure>& why) { respond(operator_response(why)); });
}

std::string operator_service::new_change_id() {
    return std::to_string(m_random());
}

}
