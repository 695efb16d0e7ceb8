/// \file operator_service.hpp
/// What operators can ask of an instance, over HTTP/2 with JSON:
///   GET  /status                     a summary of this instance
///   GET  /dump                       the whole state of this process
///   GET  /configuration              the text in force, with its revision
///   GET  /revisions                  the revision in force at each instance; null: no answer
///   PUT  /configuration[?expected=N] applies a new text
///   POST /validate                   checks a text and changes nothing
///   POST /switch                     {"group":..,"upstream":..}: makes it the primary
/// Errors come as {"code":..,"name":"..","message":".."}.
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

/// An operator's wish for a change of primary.
struct switch_request {
    group_name m_group;
    upstream_id m_upstream;
};

/// Errors: unknown_operation (1503).
[[nodiscard]] result<switch_request> parse_switch_request(const std::string& body);
[[nodiscard]] std::string to_json_text(const switch_request& order);

/// What an operator is answered: {} or {"code":..,"name":..,"message":..}.
[[nodiscard]] http2_answer operator_response(const std::optional<failure>& refused);

/// Reads what operator_answer wrote.
[[nodiscard]] std::optional<failure> parse_operator_response(const http2_answer& answer);

class operator_service {
public:
    struct handlers {
        /// Gathers the state of all shards and calls back in this thread.
        std::function<void(std::function<void(nlohmann::json)>)> m_dump;
        std::function<nlohmann::json()> m_status;
        /// Asks every instance for its revision and calls back in this thread.
        std::function<void(std::function<void(nlohmann::json)>)> m_revisions;
        /// Makes an upstream the primary of its group; empty on success.
        std::function<void(const switch_request&, std::function<void(std::optional<failure>)>)> m_switch;
        /// Looks for a new configuration without waiting for the next poll.
        std::function<void()> m_poll;
    };

    operator_service(reactor& loop, control_store_client& platform, handlers state, std::uint32_t seed);

    /// Errors: listen_failed (1603).
    [[nodiscard]] result<void> listen(const endpoint& where);

private:
    void serve(const http2_request& request, const respond_handler& respond);
    void read_configuration(const respond_handler& respond);
    void apply(const http2_request& request, const respond_handler& respond);
    static void validate(const http2_request& request, const respond_handler& respond);
    void switch_primary(const http2_request& request, const respond_handler& respond);
    std::string new_change_id();

    reactor& m_reactor;
    control_store_client& m_platform;
    handlers m_handlers;
    std::mt19937_64 m_random;
    std::unique_ptr<http2_server> m_server;
};

}
