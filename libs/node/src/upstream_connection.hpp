/// \file upstream_connection.hpp
/// One connection to an upstream. It runs one batch at a time and reports when the
/// upstream has replied to every message of the batch. A reply that does not match the
/// pending requests closes the connection.
#pragma once

#include "shard.hpp"

#include "anvilmount/base/log_position.hpp"
#include "anvilmount/decisions/configuration.hpp"
#include "anvilmount/decisions/reply_sequence.hpp"
#include "anvilmount/wire/pg_framing.hpp"
#include "anvilmount/wire/pg_messages.hpp"
#include "anvilmount/wire/tcp_stream.hpp"
#include "peer.pb.h"

#include <deque>
#include <memory>
#include <set>
#include <string>

namespace anvilmount {

/// Where and as whom to connect.
struct upstream_login {
    endpoint m_address;
    std::string m_database;
    std::string m_user;
};

/// Used by the pool of upstream_home and by upstream_probe, in one shard.
class upstream_connection : public std::enable_shared_from_this<upstream_connection> {
public:
    /// Callbacks; none is called after m_on_lost or close().
    struct handlers {
        std::function<void()> m_on_open{};
        /// Part of a reply; more follows.
        std::function<void(std::string&& bytes)> m_on_reply{};
        /// The last part of a reply and the transaction status: I, T or E, or F
        /// when the batch ended with Flush and its Sync is still to be sent.
        std::function<void(std::string&& bytes, char status)> m_on_ready{};
        std::function<void(const log_position&)> m_on_position{};
        std::function<void(const failure&)> m_on_lost{};
    };

    /// Starts to connect; m_on_open or m_on_lost reports the outcome.
    static std::shared_ptr<upstream_connection> open(shard& owner, const upstream_login& login,
                                                     handlers callbacks);

    void set_handlers(handlers callbacks) { m_handlers = std::move(callbacks); }

    /// Sends a batch. The connection must be idle, or be in the transaction or the
    /// sequence without a Sync that the batch continues.
    void run(const peer::request_batch& batch);

    /// Finds out whether the upstream has ended the connection by now. If so, m_on_lost is called; what is
    /// sent on it after that would not be known to have run or not.
    void check_ended();

    void pause_reading() { m_stream->pause_reading(); }
    void resume_reading() { m_stream->resume_reading(); }
    void close();

    /// Key that a cancel request for this connection must carry.
    [[nodiscard]] const backend_key& key() const { return m_key; }
    [[nodiscard]] bool is_open() const { return m_stage == stage::open; }
    /// True when the connection holds so many prepared statements that it should be replaced.
    [[nodiscard]] bool has_too_many_statements() const;

    /// SQLSTATE of the last error in the current batch's reply, or empty.
    [[nodiscard]] const std::string& last_error() const { return m_last_error; }

    [[nodiscard]] steady_time idle_since() const { return m_idle_since; }

private:
    enum class stage { connecting, open, closed };

    upstream_connection(shard& owner, handlers callbacks)
        : m_shard(owner), m_handlers(std::move(callbacks)) {}

    void on_bytes(std::string_view bytes);
    void on_startup_message(const pg_message& message);
    void on_message(const pg_message& message);
    void on_row();
    /// Appends the replies that the proxy supplies itself to m_reply.
    void append_supplied();
    void finish_if_all_supplied();
    void append_batch(std::string& out, const peer::request_batch& batch);
    void append_message(std::string& out, const pg_message& message);
    void append_parse(std::string& out, std::string_view name, std::string_view parse_message,
                      reply_visibility visibility);
    void close_with_failure(const failure& why);

    shard& m_shard;
    handlers m_handlers;
    stage m_stage{stage::connecting};
    std::shared_ptr<tcp_stream> m_stream;
    reply_splitter m_splitter;
    reply_sequence m_sequence;
    std::set<std::string, std::less<>> m_prepared; ///< Names of the statements prepared on the connection.
    std::deque<std::string> m_pending_parses; ///< Statement names of the Parse messages without a reply.
    backend_key m_key;
    std::string m_reply; ///< Reply for the caller, built from the bytes being processed.
    char m_status{'I'};
    bool m_saw_ready{false};
    bool m_row_shown{false};
    bool m_running{false};
    std::string m_fatal_error; ///< Message of the upstream's last error, if that was FATAL.
    steady_time m_idle_since{};
    std::string m_last_error;
};

/// Sends a cancel request for the connection with `key`, on a new connection.
void send_cancel(shard& owner, const endpoint& upstream, const backend_key& key);

}
