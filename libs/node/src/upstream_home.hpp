/// \file upstream_home.hpp
/// The home of one upstream, the only owner of its pooled connections. It queues
/// the requests of all fronts by rank and limits with slots how many run at once.
/// It carries out the decisions of admission_queue and pool_accounting, and checks
/// what no front can: whether the upstream is the primary, and up to which position
/// it has applied the log.
#pragma once

#include "home_channel.hpp"
#include "upstream_probe.hpp"

#include "anvilmount/decisions/pool_accounting.hpp"
#include "anvilmount/decisions/position_check.hpp"
#include "anvilmount/decisions/replication_proof.hpp"
#include "anvilmount/decisions/write_confirmation.hpp"

#include <nlohmann/json.hpp>

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace anvilmount {

/// The parts of the configuration that concern one upstream and its group.
struct upstream_home_options {
    group_spec m_group;
    upstream_spec m_upstream;
    std::array<rank_spec, rank_count> m_ranks{};
    milliseconds m_idle_transaction_timeout{60000};
    /// Maximum wait for a replica to catch up before the request is sent to the primary.
    /// Used when the request does not specify its own.
    milliseconds m_position_wait{30};
};

/// Runs in one shard; all functions are called from that shard's thread.
class upstream_home {
public:
    upstream_home(shard& owner, upstream_home_options options);
    ~upstream_home();
    upstream_home(const upstream_home&) = delete;
    upstream_home& operator=(const upstream_home&) = delete;

    /// Applies changed options. Open connections are kept.
    void adopt(upstream_home_options options);

    /// Opens a channel for one front. `send` carries the frames for that front.
    std::shared_ptr<home_channel> open(peer::open_channel request, frame_sender send);
    void on_frame(const std::shared_ptr<home_channel>& channel, peer::front_frame&& frame);
    /// The front has abandoned the channel or cannot be reached any more.
    void on_front_gone(const std::shared_ptr<home_channel>& channel);

    /// Ends all channels, and those that are opened from now on: the time for leaving is over. Fronts learn
    /// of each batch whether it has run.
    void end_channels();

    /// Sets whether this instance is the upstream's home by placement. A minimum of idle
    /// connections is kept open only while it is; otherwise idle connections are closed.
    void set_is_home(bool is_home);

    [[nodiscard]] bool is_unused() const { return !m_is_home && m_channels.empty(); }
    [[nodiscard]] std::size_t channel_count() const { return m_channels.size(); }
    [[nodiscard]] nlohmann::json dump() const;

private:
    using channel_ptr = std::shared_ptr<home_channel>;

    void on_batch(const channel_ptr& channel, peer::request_batch&& batch);
    /// Enqueues the batch if the upstream has proven that it may serve it. Otherwise ends the
    /// channel, or lets it wait for the upstream's position.
    void try_enqueue(const channel_ptr& channel);
    void enqueue(const channel_ptr& channel);
    /// Runs the queued requests that admission lets run, and opens the connections that others need.
    void start_admitted();
    void open_connections();
    /// Removes connections that have ended from the end of m_idle where the next one is taken.
    void drop_ended_idle();
    /// Takes an idle connection unless the channel has one, and runs the batch.
    void run_admitted(const channel_ptr& channel);
    void run_batch(const channel_ptr& channel);
    [[nodiscard]] upstream_connection::handlers
    pooled_handlers(const std::shared_ptr<std::weak_ptr<upstream_connection>>& self);
    [[nodiscard]] upstream_connection::handlers running_handlers(const channel_ptr& channel);

    void on_reply(const channel_ptr& channel, std::string&& bytes);
    void on_ready(const channel_ptr& channel, std::string&& bytes, char status);
    void send_ready(const channel_ptr& channel, std::string&& bytes, char status);
    void resolve_pending_writes();
    void run_guard_step(const channel_ptr& channel, const guard_step& step);
    bool on_guarded_answer(const channel_ptr& channel, std::string& bytes, char status);
    void on_connection_lost(const channel_ptr& channel, const failure& why);
    void return_to_pool(const channel_ptr& channel);
    void close_connection(const channel_ptr& channel);
    void on_credit(const channel_ptr& channel, std::uint64_t bytes);
    void cancel(const channel_ptr& channel);
    void end_channel(const channel_ptr& channel, const failure& why);
    void remove_channel(const channel_ptr& channel);

    void on_state(const upstream_state& state);
    void on_silent(const failure& why);
    void record_position(const log_position& position);
    void recheck_waiting();
    void fill_hint(peer::primary_hint& hint) const;
    /// Returns why the upstream cannot serve the channel's request now, or nothing.
    [[nodiscard]] std::optional<failure> check_servable(const home_channel& channel) const;
    [[nodiscard]] position_status position_status_for(const home_channel& channel) const;
    [[nodiscard]] bool satisfies_fence(const home_channel& channel) const;

    /// True when the upstream is proven to have been primary at some time after `moment`.
    [[nodiscard]] bool was_primary_after(steady_time moment) const;
    /// Returns why the channel must not wait for the upstream's position any longer, or nothing.
    [[nodiscard]] std::optional<failure> check_position_wait(const home_channel& channel,
                                                             steady_time now) const;
    [[nodiscard]] log_position safe_position() const;
    void end_unconfirmed_write(const channel_ptr& channel, const failure& why);
    void abandon_silent_upstream();
    void suspect_running(milliseconds timeout, bool only_at_primary);
    void abandon_suspected();
    void tick();

    shard& m_shard;
    upstream_home_options m_options;
    bool m_is_home{false};
    bool m_has_ended{false};
    pool_accounting m_pool;
    admission_queue m_admission;
    std::unique_ptr<upstream_probe> m_probe;
    std::optional<upstream_state> m_state; ///< Unset while the upstream is silent.
    std::optional<failure> m_silence;      ///< Why the upstream is silent; unset while it answers.
    steady_time m_silent_since{};          ///< Valid while m_silence is set.
    log_position m_position;               ///< Greatest position seen in the current term.
    replication_proof m_proof;             ///< Empty unless the upstream is primary.
    std::map<std::uint64_t, channel_ptr> m_channels;
    std::vector<std::shared_ptr<upstream_connection>> m_idle; ///< Most recently used at the back.
    std::list<std::shared_ptr<upstream_connection>> m_opening;
    std::vector<channel_ptr> m_waiting_for_position;
    std::vector<channel_ptr> m_waiting_for_ack;
    std::uint64_t m_next_id{1};
    reactor::timer_id m_tick_timer{};
};

}
