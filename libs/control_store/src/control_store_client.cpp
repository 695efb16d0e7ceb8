/// \file control_store_client.cpp
#include "anvilmount/control_store/control_store_client.hpp"

namespace anvilmount {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

failure failure_for(const http2_response& answer, const std::string& what) {
    if (answer.m_status == status_not_found) {
        return {.m_code = result_code::platform_not_found, .m_message = "the platform has no " + what};
    }
    if (answer.m_status == status_conflict) {
        return {.m_code = result_code::platform_conflict,
                .m_message = what + " was changed by someone else"};
    }
    return {.m_code = result_code::platform_unavailable,
            .m_message = "the platform answered " + std::to_string(answer.m_status) + " for " + what};
}

failure bad_answer(const std::string& what) {
    return {.m_code = result_code::platform_bad_answer,
            .m_message = "the platform's answer for " + what + " cannot be read"};
}

/// Turns a raw answer into a value by `read`, which returns nothing when the body is wrong.
template <class Value, class Read>
http2_client::response_handler reading(std::string what, control_store_client::handler<Value> on_value,
                                       Read read) {
    return [what = std::move(what), on_value = std::move(on_value),
            read](std::variant<http2_response, failure> got) {
        if (auto* broken = std::get_if<failure>(&got)) {
            on_value(std::move(*broken));
            return;
        }
        const http2_response& answer = std::get<http2_response>(got);
        if (answer.m_status != status_ok) {
            on_value(failure_for(answer, what));
            return;
        }
        std::optional<Value> value = read(answer.m_body);
        if (value) {
            on_value(std::move(*value));
        } else {
            on_value(bad_answer(what));
        }
    };
}

std::optional<table_row> row_from(const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("version") || !parsed["version"].is_number_unsigned()) {
        return std::nullopt;
    }
    return table_row{.m_version = parsed["version"].get<std::uint64_t>(),
                     .m_value = parsed.value("value", json())};
}

std::optional<instance_view> instance_from(const json& each) {
    const auto text = [&](const char* name) {
        return each.is_object() && each.contains(name) && each[name].is_string()
                   ? each[name].get<std::string>()
                   : "";
    };
    const auto address = value_or_failure([&] { return parse_endpoint(text("peer")); });
    if (address.index() != 0 || text("id").empty()) {
        return std::nullopt;
    }
    return instance_view{.m_id = {text("id")},
                         .m_peer_address = std::get<0>(address),
                         .m_data_centre = {text("data_centre")},
                         .m_state =
                             text("state") == "leaving" ? instance_state::leaving : instance_state::live};
}

std::optional<std::vector<instance_view>> instances_from(const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_array()) {
        return std::nullopt;
    }
    std::vector<instance_view> instances;
    for (const json& each : parsed) {
        auto instance = instance_from(each);
        if (!instance) {
            return std::nullopt;
        }
        instances.push_back(std::move(*instance));
    }
    return instances;
}

}

void control_store_client::read_row(const std::string& key, const handler<table_row>& on_row) {
    const auto missing_is_empty = [on_row](std::variant<table_row, failure> got) {
        const auto* broken = std::get_if<failure>(&got);
        if (broken != nullptr && broken->m_code == result_code::platform_not_found) {
            on_row(table_row{});
            return;
        }
        on_row(std::move(got));
    };
    m_http.send({.m_method = "GET", .m_path = "/table/" + key}, m_options.m_timeout,
                reading<table_row>("row " + key, missing_is_empty, row_from));
}

void control_store_client::write_row(const std::string& key, const table_row& expected_and_value,
                                     handler<std::uint64_t> on_written) {
    const json body{{"expected_version", expected_and_value.m_version},
                    {"value", expected_and_value.m_value}};
    const auto version_of = [](const std::string& text) -> std::optional<std::uint64_t> {
        const auto row = row_from(text);
        return row ? std::optional<std::uint64_t>{row->m_version} : std::nullopt;
    };
    m_http.send({.m_method = "PUT", .m_path = "/table/" + key, .m_body = body.dump()}, m_options.m_timeout,
                reading<std::uint64_t>("row " + key, std::move(on_written), version_of));
}

void control_store_client::read_object(const std::string& name, handler<std::string> on_object) {
    m_http.send({.m_method = "GET", .m_path = "/object/" + name}, m_options.m_timeout,
                reading<std::string>("object " + name, std::move(on_object), [](const std::string& body) {
                    return std::optional<std::string>{body};
                }));
}

void control_store_client::write_object(const std::string& name, const std::string& bytes,
                                        handler<std::monostate> on_written) {
    m_http.send({.m_method = "PUT", .m_path = "/object/" + name, .m_body = bytes}, m_options.m_timeout,
                reading<std::monostate>("object " + name, std::move(on_written), [](const std::string&) {
                    return std::optional<std::monostate>{std::in_place};
                }));
}

void control_store_client::read_instances(handler<std::vector<instance_view>> on_instances) {
    m_http.send(
        {.m_method = "GET", .m_path = "/instances"}, m_options.m_timeout,
        reading<std::vector<instance_view>>("instance list", std::move(on_instances), instances_from));
}

}
