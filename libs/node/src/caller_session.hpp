/// \file caller_session.hpp
/// One caller's connection: the server side of the PostgreSQL protocol, version 3. A
/// session collects the messages of a request, classifies and routes the request, opens
/// a channel to the home of the chosen upstream, and forwards the reply. An open
/// transaction keeps its channel. An instance holds thousands of sessions, so an idle
/// session uses little memory.
#pragma once

#include "caller_batch.hpp"
#include "cancel_registry.hpp"
#include "channel.hpp"
#include "group_knowledge.hpp"
#include "session_settings.hpp"

#include "anvilmount/decisions/request_routing.hpp"
#include "anvilmount/wire/pg_boundary.hpp"
#include "anvilmount/wire/pg_messages.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <memory>
#include <string>

namespace anvilmount {

/// Settings of all sessions of one shard.
struct front_options {
    std::string m_server_version{"15.0"};
    milliseconds m_startup_timeout{10000};
    std::size_t m_max_callers{10000}; ///< Per shard.
};

/// Objects that all sessions of one shard share.
struct front_context {
    shard& m_shard;
    const group_knowledge& m_knowledge;
    membership& m_members;
    channel_opener& m_channel_opener;
    cancel_registry& m_cancel_registry;
    front_options m_options;
    /// Forwards a cancel request whose key was issued by another instance.
    std::function<void(const backend_key&)> m_forward_cancel;
};

/// Runs one request at a time; input that arrives meanwhile waits.
///
/// A session that ends closes its connection last: it sends what is unsent, then the end of the stream, and
/// the caller closes. Until then the caller may be sending a statement, which was not read and has not run;
/// the FATAL error that the caller finds is its answer. Closing a socket with such bytes unread resets the
/// connection, and the caller loses the error, and what it has not read of the answers before.
///
/// A caller may close its sending direction and wait for its answers. What it sees of a caller that has
/// gone altogether looks the same, until something is sent to it: the caller's system answers with a reset.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    using closed_handler = std::function<void(caller_session*)>;

    caller_session(front_context& context, closed_handler on_closed);
    ~caller_session();
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    /// Starts serving the accepted socket `fd`.
    void start(int fd);

    /// Refuses the connection with `why` once its startup message has arrived.
    void refuse(const failure& why) { m_refusal = std::make_unique<failure>(why); }

    /// Starts draining: the session ends once it has no request and no transaction in progress.
    void leave();

    /// Answers what is in progress with an error and ends the session: the time for leaving is over. A
    /// statement at a home in this instance is answered by that home, which knows whether it has run.
    void end_unfinished();

    [[nodiscard]] bool is_idle() const { return m_phase == phase::ready && !m_channel; }

private:
    enum class phase { startup, ready, running, ending, closed };

    /// The request in progress, with the state of its attempts.
    struct request {
        caller_batch m_batch;
        script_traits m_traits;
        request_class m_class;
        steady_time m_arrived_at{};
        steady_time m_deadline{};
        steady_time m_sent_at{};
        int m_attempts{0};
        bool m_is_read{false};
        bool m_began_in_transaction{false};
        bool m_reply_started{false};
        bool m_may_have_run{false};       ///< The outcome of an attempt is unknown.
        bool m_replica_was_behind{false}; ///< The next attempt goes to the primary.
        std::string m_request_id;
        std::optional<log_position>
            m_unconfirmed_position; ///< Set while checking whether the write at this position survived.
        std::string m_held_reply;   ///< Sent to the caller if that write survived.
        routing_plan m_plan;        ///< Route of the current attempt.
    };

    void on_bytes(std::string_view bytes);
    /// The caller sends nothing more: the session ends once what it has sent is answered.
    void on_caller_finished();
    void process_input();
    result<bool> process_startup();
    result<void> begin_session(std::string_view body);
    void send_greeting();
    void handle_message(const pg_message& message);
    void add_to_batch(const pg_message& message);

    void dispatch_batch();
    [[nodiscard]] std::optional<failure> check_supported(const script_traits& traits) const;
    void prepare_request(caller_batch&& batch, script_traits&& traits);
    void route();
    void open_channel();
    [[nodiscard]] peer::open_channel make_open_request(const configuration& current) const;
    void fill_batch(peer::request_batch& batch);
    void send_batch();
    [[nodiscard]] routing_plan make_plan();
    [[nodiscard]] bool may_commit() const;

    void on_frame(peer::home_frame&& frame);
    /// Updates the group's view with what the home reported at the end of a reply.
    void record_ready(const peer::ready& ready, const log_position& at);
    void on_ready(std::string& out, const peer::ready& ready);
    void on_end(const peer::closed& closed);
    void on_lost(bool may_have_run);
    /// Updates the group's view with what the home reported when it ended the channel.
    void record_end(const failure& why, const peer::closed& closed);
    /// Schedules another attempt if the failed one may be retried, else reports `why` to the caller.
    void retry_or_report(failure why);
    /// Ends the request with an error; the session goes on.
    void report_failure(failure why);
    void refuse_batch(const failure& why, bool ends_with_sync);
    void send_credit(std::uint64_t bytes);
    void on_drained();
    void abandon_channel();
    void on_cancel();
    /// Sends `why` as a FATAL error and ends the session.
    void close_with_error(const failure& why);
    /// Ends the session without an error; the caller gets what was written so far.
    void end();
    /// Logs and counts a session that ends for `cause` with a request that has no complete answer.
    void report_unanswered(const std::string& cause);
    /// Closes the connection of a caller that has finished, unless there are bytes left to send.
    void close_when_sent();
    /// Closes the connection if the caller does not.
    void await_close(milliseconds time_left);
    void close();

    [[nodiscard]] bool is_over() const { return m_phase == phase::ending || m_phase == phase::closed; }

    front_context& m_context;
    closed_handler m_on_closed;
    std::shared_ptr<tcp_stream> m_stream;
    phase m_phase{phase::startup};
    char m_status{'I'};         ///< Transaction status that the caller was last sent.
    bool m_in_flush{false};     ///< A Flush was answered and the following Sync has not arrived yet.
    bool m_skip_to_sync{false}; ///< After an error: ignore messages up to the next Sync.
    bool m_has_written{false};  ///< A statement other than a read ran since the last commit.
    bool m_leaving{false};
    bool m_has_discarded_input{false};
    bool m_caller_finished{false}; ///< The caller has closed at least its sending direction.
    bool m_tries_again{true};      ///< Failed attempts may be repeated.
    bool m_cancel_pending{false};  ///< A cancel request arrived between two attempts.
    backend_key m_key;
    std::uint64_t m_caller_id{0};
    pg_message_buffer m_input;
    std::shared_ptr<shared_group> m_group;
    session_settings m_settings;
    prepared_statements m_prepared;
    std::unique_ptr<caller_batch> m_batch;    ///< Messages of a request that is not complete yet.
    std::unique_ptr<request> m_request;       ///< Set while running.
    std::shared_ptr<front_channel> m_channel; ///< Set during an attempt and inside a transaction.
    pg_boundary m_boundary;              ///< Whether the reply bytes sent so far end between two messages.
    std::uint64_t m_uncredited_bytes{0}; ///< Reply bytes not yet credited to the home.
    std::unique_ptr<failure> m_refusal;
    reactor::timer_id m_timer{};
};

}
