/// \file caller_session.hpp
/// One caller's connection: the server side of PostgreSQL v3. It gathers a
/// request, has it classified and routed, opens a channel to the home of the
/// chosen upstream, and passes the answer on. An open transaction keeps its
/// channel. Small while idle, since an instance holds thousands.
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

struct front_options {
    std::string m_server_version{"15.0"};
    milliseconds m_startup_timeout{10000};
    std::size_t m_max_callers{10000}; ///< Per shard.
};

/// What all sessions of one shard share.
struct front_context {
    shard& m_shard;
    const group_knowledge& m_knowledge;
    membership& m_members;
    channel_opener& m_channel_opener;
    cancel_registry& m_cancel_registry;
    front_options m_options;
    /// Passes on a cancel request whose key another instance gave out.
    std::function<void(const backend_key&)> m_forward_cancel;
};

class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    using closed_handler = std::function<void(caller_session*)>;

    caller_session(front_context& context, closed_handler on_closed);
    ~caller_session();
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    void start(int fd);

    /// Refuses the connection as soon as it has named itself.
    void refuse(const failure& why) { m_refusal = std::make_unique<failure>(why); }

    /// Ends the session in order once nothing of it is in progress.
    void leave();

    [[nodiscard]] bool is_idle() const { return m_phase == phase::ready && !m_channel; }

private:
    enum class phase { startup, ready, running, closed };

    /// A request on its way.
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
        bool m_replica_was_behind{false}; ///< The next try goes to the primary.
        std::string m_request_id;
        std::optional<log_position>
            m_unconfirmed_position; ///< Asking whether the write at this position survived.
        std::string m_held_reply;   ///< What acknowledges it, if it did.
        routing_plan m_plan;        ///< Of the try under way.
    };

    void on_bytes(std::string_view bytes);
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
    void record_ready(const peer::ready& ready, const log_position& at);
    void on_ready(std::string& out, const peer::ready& ready);
    void on_end(const peer::closed& closed);
    void on_lost(bool may_have_run);
    void record_end(const failure& why, const peer::closed& closed);
    void retry_or_report(failure why);
    void report_failure(const failure& why);
    void refuse_batch(const failure& why, bool ends_with_sync);
    void send_credit(std::uint64_t bytes);
    void on_drained();
    void abandon_channel();
    void on_cancel();
    void close_with_error(const failure& why);
    void close();

    front_context& m_context;
    closed_handler m_on_closed;
    std::shared_ptr<tcp_stream> m_stream;
    phase m_phase{phase::startup};
    char m_status{'I'};     ///< Transaction status as the caller knows it.
    bool m_in_flush{false}; ///< A flushed part was answered and its Sync is still to come.
    bool m_skip_to_sync{false};
    bool m_has_written{false}; ///< Something other than a read ran since the last commit.
    bool m_leaving{false};
    bool m_cancel_pending{false}; ///< Cancel came between two tries.
    backend_key m_key;
    std::uint64_t m_caller_id{0};
    pg_message_buffer m_input;
    std::shared_ptr<shared_group> m_group;
    session_settings m_settings;
    prepared_statements m_prepared;
    std::unique_ptr<caller_batch> m_batch;    ///< Being gathered.
    std::unique_ptr<request> m_request;       ///< Set while running.
    std::shared_ptr<front_channel> m_channel; ///< Set while running and inside a transaction.
    pg_boundary m_boundary;
    std::uint64_t m_uncredited_bytes{0}; ///< Reply bytes not yet credited to the home.
    std::unique_ptr<failure> m_refusal;
    reactor::timer_id m_timer{};
};

}
