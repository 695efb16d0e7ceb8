/// \file control_store_client.cpp
/// Sends HTTP/2 requests to the platform and parses the responses.
#include "anvilmount/control_store/control_store_client.hpp"

namespace anvilmount {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

failure failure_for(const http2_response& response, const std::string& item) {
    if (response.m_status == status_not_found) {
        return {.m_code = result_code::platform_not_found, .m_message = "the platform has no " + item};
    }
    if (response.m_status == status_conflict) {
        return {.m_code = result_code::platform_conflict,
                .m_message = item + " was changed by someone else"};
    }
    return {.m_code = result_code::platform_unavailable,
            .m_message = "the platform answered " + std::to_string(response.m_status) + " for " + item};
}

failure unreadable_response(const std::string& item) {
    return {.m_code = result_code::platform_bad_answer,
            .m_message = "the platform's answer for " + item + " cannot be read"};
}

/// Returns a handler that parses a response's body with `parse_body` and passes the value
/// or the failure to `on_value`. `parse_body` returns nothing when the body is invalid.
template <class Value, class ParseBody>
http2_client::response_handler
response_reader(std::string item, control_store_client::handler<Value> on_value, ParseBody parse_body) {
    return [item = std::move(item), on_value = std::move(on_value),
            parse_body](std::variant<http2_response, failure> outcome) {
        if (auto* error = std::get_if<failure>(&outcome)) {
            on_value(std::move(*error));
            return;
        }
        const http2_response& response = std::get<http2_response>(outcome);
        if (response.m_status != status_ok) {
            on_value(failure_for(response, item));
            return;
        }
        std::optional<Value> value = parse_body(response.m_body);
        if (value) {
            on_value(std::move(*value));
        } else {
            on_value(unreadable_response(item));
        }
    };
}

std::optional<table_row> parse_row(const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("version") || !parsed["version"].is_number_unsigned()) {
        return std::nullopt;
    }
    return table_row{.m_version = parsed["version"].get<std::uint64_t>(),
                     .m_value = parsed.value("value", json())};
}

std::optional<instance_view> parse_instance(const json& each) {
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

std::optional<std::vector<instance_view>> parse_instances(const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_array()) {
        return std::nullopt;
    }
    std::vector<instance_view> instances;
    for (const json& each : parsed) {
        auto instance = parse_instance(each);
        if (!instance) {
            return std::nullopt;
        }
        instances.push_back(std::move(*instance));
    }
    return instances;
}

}

void control_store_client::read_row(const std::string& key, const handler<table_row>& on_row) {
    const auto missing_is_empty = [on_row](std::variant<table_row, failure> outcome) {
        const auto* error = std::get_if<failure>(&outcome);
        if (error != nullptr && error->m_code == result_code::platform_not_found) {
            on_row(table_row{});
            return;
        }
        on_row(std::move(outcome));
    };
    m_http.send({.m_method = "GET", .m_path = "/table/" + key}, m_options.m_timeout,
                response_reader<table_row>("row " + key, missing_is_empty, parse_row));
}

void control_store_client::write_row(const std::string& key, const table_row& expected_and_value,
                                     handler<std::uint64_t> on_written) {
    const json body{{"expected_version", expected_and_value.m_version},
                    {"value", expected_and_value.m_value}};
    const auto version_of = [](const std::string& text) -> std::optional<std::uint64_t> {
        const auto row = parse_row(text);
        return row ? std::optional<std::uint64_t>{row->m_version} : std::nullopt;
    };
    m_http.send({.m_method = "PUT", .m_path = "/table/" + key, .m_body = body.dump()}, m_options.m_timeout,
                response_reader<std::uint64_t>("row " + key, std::move(on_written), version_of));
}

void control_store_client::read_object(const std::string& name, handler<std::string> on_object) {
    m_http.send(
        {.m_method = "GET", .m_path = "/object/" + name}, m_options.m_timeout,
        response_reader<std::string>("object " + name, std::move(on_object), [](const std::string& body) {
            return std::optional<std::string>{body};
        }));
}

void control_store_client::write_object(const std::string& name, const std::string& bytes,
                                        handler<std::monostate> on_written) {
    m_http.send(
        {.m_method = "PUT", .m_path = "/object/" + name, .m_body = bytes}, m_options.m_timeout,
        response_reader<std::monostate>("object " + name, std::move(on_written), [](const std::string&) {
            return std::optional<std::monostate>{std::in_place};
        }));
}

void control_store_client::read_instances(handler<std::vector<instance_view>> on_instances) {
    m_http.send({.m_method = "GET", .m_path = "/instances"}, m_options.m_timeout,
                response_reader<std::vector<instance_view>>("instance list", std::move(on_instances),
                                                            parse_instances));
}

}
