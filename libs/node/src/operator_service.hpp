/// \file operator_service.hpp
/// The operators' interface of an instance, over HTTP/2 with JSON:
///   GET  /status                     summary of this instance
///   GET  /dump                       complete state of this process
///   GET  /configuration              configuration text in force, with its revision
///   GET  /revisions                  revision in force at each instance; null: no answer
///   PUT  /configuration[?expected=N] applies a configuration text; N: required current revision
///   POST /validate                   checks a configuration text without applying it
///   POST /switch                     {"group":..,"upstream":..}: makes the upstream primary
/// Errors are returned as {"code":..,"name":"..","message":".."}.
#pragma once

#include "anvilmount/base/failure.hpp"
#include "anvilmount/control_store/control_store_client.hpp"
#include "anvilmount/wire/http2_exchange.hpp"
#include "anvilmount/wire/http2_server.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <random>

namespace anvilmount {

/// An operator's request to make an upstream the primary of its group.
struct switch_request {
    group_name m_group;
    upstream_id m_upstream;
};

/// Errors: unknown_operation (1503).
[[nodiscard]] result<switch_request> parse_switch_request(const std::string& body);
[[nodiscard]] std::string to_json_text(const switch_request& target);

/// Returns the response to an operator: {} on success, otherwise
/// {"code":..,"name":..,"message":..}.
[[nodiscard]] http2_response operator_response(const std::optional<failure>& error);

/// Parses a response that operator_response() built. Returns nothing on success.
[[nodiscard]] std::optional<failure> parse_operator_response(const http2_response& response);

class operator_service {
public:
    /// Functions of the instance that requests are served with.
    struct handlers {
        /// Collects the state of all shards and calls back in this thread.
        std::function<void(std::function<void(nlohmann::json)>)> m_dump;
        std::function<nlohmann::json()> m_status;
        /// Requests the revision of every instance and calls back in this thread.
        std::function<void(std::function<void(nlohmann::json)>)> m_revisions;
        /// Makes an upstream the primary of its group; passes nothing on success.
        std::function<void(const switch_request&, std::function<void(std::optional<failure>)>)> m_switch;
        /// Polls for a new configuration now.
        std::function<void()> m_poll;
    };

    operator_service(reactor& loop, control_store_client& platform, handlers callbacks, std::uint32_t seed);

    /// Errors: listen_failed (1603).
    [[nodiscard]] result<void> listen(const endpoint& address);

private:
    void serve(const http2_request& request, const response_sender& respond);
    void read_configuration(const response_sender& respond);
    void apply(const http2_request& request, const response_sender& respond);
    static void validate(const http2_request& request, const response_sender& respond);
    void switch_primary(const http2_request& request, const response_sender& respond);
    std::string new_change_id();

    reactor& m_reactor;
    control_store_client& m_platform;
    handlers m_handlers;
    std::mt19937_64 m_random;
    std::unique_ptr<http2_server> m_server;
};

}
