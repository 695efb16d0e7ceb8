/// \file group_service.hpp
/// Serves the requests for one database group (a primary and its replicas). It
/// chooses the upstream for each request, retries requests that are safe to
/// retry, defers requests while no upstream can serve them, and sends work to the
/// primary only while the group's record is steady and this instance holds its lease.
#pragma once

#include "anvilmount/decisions/confirmation_lease.hpp"
#include "anvilmount/decisions/freshness_floor.hpp"
#include "anvilmount/decisions/group_holders.hpp"
#include "anvilmount/decisions/group_record.hpp"
#include "anvilmount/decisions/primary_gap.hpp"
#include "anvilmount/decisions/upstream_choice.hpp"
#include "anvilmount/decisions/upstream_outcomes.hpp"
#include "anvilmount/gateway/group_spill.hpp"
#include "anvilmount/gateway/upstream_pool.hpp"

#include <array>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace anvilmount::gateway {

/// Which upstreams may serve a request.
enum class request_placement {
    primary,         ///< Writes, read-write transactions, and reads that must see every commit.
    replica_allowed, ///< Reads that the primary or a sufficiently fresh replica may serve.
    same_connection, ///< Statements of a transaction that holds a connection.
};

/// A request of a session to its group.
struct group_request {
    std::uint64_t m_caller{0};
    std::string m_account{}; ///< Client account of the caller; empty without one.
    std::string m_id{};      ///< Statement id, for the log.
    int m_rank{2};           ///< Admission rank; lower ranks are more urgent.
    request_placement m_placement{request_placement::primary};
    bool m_retryable{false};          ///< Reads and BEGIN: running them twice is harmless.
    bool m_acknowledges_write{false}; ///< Success tells the caller that a write is committed.
    steady_time m_arrived{};
    steady_time m_deadline{};
    steady_time m_target_time{};                   ///< An answer after this time misses the latency target.
    std::optional<milliseconds> m_max_staleness{}; ///< For replica_allowed.
    /// Newest commit of the session, as a position in the current term's log.
    std::optional<log_position> m_session_watermark{};
    connection_handle m_connection{};        ///< For same_connection.
    std::shared_ptr<upstream_pool> m_pool{}; ///< For same_connection.
    std::shared_ptr<const session_values> m_values{};
    outgoing_statement m_statement{};
    std::optional<outgoing_statement> m_prepare{};
};

/// The outcome of a group_request.
struct group_reply {
    work_outcome m_outcome{work_outcome::not_run};
    bool m_was_sent{false}; ///< An upstream was sent the request, in whichever attempt.
    answer m_answer{};
    result_code m_code{result_code::queue_full}; ///< Reason, unless answered.
    connection_handle m_connection{};            ///< When answered.
    std::shared_ptr<upstream_pool> m_pool{};     ///< When answered.
    std::uint64_t m_term{0};                     ///< The group's term when the answer arrived.
};

/// Parameters of a group_service.
struct group_options {
    group_name m_name{};
    data_centre m_data_centre{}; ///< Data centre of this instance.
    holding_limits m_limits{};   ///< Connection limits of one upstream.
    int m_holder_count{1};       ///< Instances that hold connections to this group.
    /// Whether this instance holds connections. Other instances open one only for a request.
    bool m_has_connections{true};
    /// A coordinator keeps one connection per upstream in any case, to poll its status.
    bool m_is_coordinator{false};
    milliseconds m_drain_limit{0};                      ///< See drain_window.hpp.
    int m_synchronous_replicas{0};                      ///< See service_limits.
    std::array<rank_order, rank_count> m_rank_orders{}; ///< Index: rank - 1; see rank_orders.hpp.
    /// Whether reads avoid upstreams whose outcomes are worse than the others', and are repeated once
    /// elsewhere when they fail.
    bool m_judges_outcomes{false};
    double m_remote_byte_price{0}; ///< See data_centre_spill.hpp; fixed while the instance runs.
    milliseconds m_spill_phase{0}; ///< See spill_options.
};

/// Places the requests for one group; see the file comment. Not thread-safe.
class group_service {
public:
    group_service(group_options options, const clock_port& clock, const upstream_connector& connector,
                  const confirmation_lease& lease, metrics& counters);

    void set_options(const group_options& options);
    [[nodiscard]] const group_options& options() const { return m_options; }

    /// Adopts the upstreams registered for this group. `complete`: an upstream that is not
    /// registered is gone; otherwise its registration may be missing for a while.
    void adopt_upstreams(const upstream_registry& registered, bool complete);
    [[nodiscard]] bool is_registry_complete() const { return m_registry_complete; }
    /// Whether the upstream's registration is gone; its pool is kept while work is open there.
    [[nodiscard]] bool has_departed(const upstream_id& id) const { return m_departed.contains(id); }

    /// Adopts a newer record; older ones are ignored. Calls `on_old_primary_released`
    /// once this instance no longer uses a primary that the record replaces.
    void adopt_record(const group_record& record, std::function<void()> on_old_primary_released);

    /// Serves `request` and calls `done` exactly once, never before submit() returns.
    void submit(group_request request, std::function<void(group_reply)> done);

    /// Refuses everything that no upstream has been sent, now and from now on. The answers to what runs are
    /// still awaited.
    void stop(result_code code);

    /// Enforces timeouts and places deferred requests; to be called every few milliseconds.
    void tick();

    [[nodiscard]] const group_record& record() const { return m_record; }
    [[nodiscard]] const freshness_floor& freshness() const { return m_freshness; }
    /// Where the newest commit of the recorded primary lies that this instance has acknowledged.
    [[nodiscard]] const acknowledged_range& acknowledged_commits() const {
        return m_freshness.acknowledged_commits();
    }
    /// Whether this instance knows the group's record and holds its lease.
    [[nodiscard]] bool may_use_primary() const;
    /// Standing of an upstream by the outcomes of its work; in use unless outcomes are judged.
    [[nodiscard]] upstream_standing standing_of(const upstream_id& id) const {
        return m_outcomes ? m_outcomes->standing_of(id) : upstream_standing::in_use;
    }
    [[nodiscard]] const std::map<upstream_id, std::shared_ptr<upstream_pool>>& pools() const {
        return m_pools;
    }

    /// Shares of reads that leave the data centre, for operators.
    [[nodiscard]] nlohmann::json spill_state() const { return m_spill.state(); }

    /// Whether the recorded primary refuses this instance's connections, has been replaced by
    /// another upstream at its address, has not answered for at least `min_duration`, or is
    /// missing from a complete registry.
    [[nodiscard]] bool is_primary_unreachable(milliseconds min_duration) const;

    /// Whether the recorded primary has said that it is none, and served nothing as primary since.
    [[nodiscard]] bool has_primary_refused_role() const { return m_primary_refused_role; }

    /// Sends a status request to the primary unless it has answered recently.
    void probe_primary() const;

private:
    /// A request that has not been answered.
    struct pending {
        group_request m_request{};
        std::function<void(group_reply)> m_done{};
        int m_attempts{0};
        bool m_was_sent{false};           ///< In whichever attempt.
        bool m_repeated_elsewhere{false}; ///< A read that failed and was repeated; see repeat_elsewhere().
        steady_time m_earliest_retry{};
        log_position m_newest_when_sent{};    ///< Newest known position of the primary's log.
        std::vector<upstream_id> m_avoided{}; ///< Upstreams that failed to serve the request.
    };
    using pending_ptr = std::shared_ptr<pending>;

    /// Whether new work may be sent to the primary; false during a change of primary.
    [[nodiscard]] bool accepts_new_primary_work() const;
    [[nodiscard]] std::shared_ptr<upstream_pool> find_pool(const upstream_id& id) const;
    [[nodiscard]] std::shared_ptr<upstream_pool> choose_upstream(pending& item,
                                                                 std::optional<log_position>& min_position);
    [[nodiscard]] std::vector<read_candidate> read_candidates() const;
    /// Chooses among `candidates` with regard to their outcomes; nothing if these leave none.
    [[nodiscard]] std::optional<upstream_id>
    choose_by_outcomes(const pending& item, const std::vector<read_candidate>& candidates,
                       const std::optional<log_position>& min_position);
    /// Chooses an upstream that is withheld for its outcomes but serves most of its work, for a read that
    /// would be refused otherwise; null if none can serve it in time.
    [[nodiscard]] std::shared_ptr<upstream_pool>
    choose_overflow(const pending& item, const std::optional<log_position>& min_position) const;
    /// Whether another upstream than `failed` can still answer the read by its deadline.
    [[nodiscard]] bool can_answer_elsewhere(const pending& item, const upstream_id& failed) const;
    /// Repeats a read that failed or got no answer, once, at another upstream; false if that is not
    /// possible or the request is no such read.
    [[nodiscard]] bool repeat_elsewhere(const pending_ptr& item, const upstream_id& failed);
    /// When to give up waiting for the answer: early enough to repeat a read elsewhere.
    [[nodiscard]] steady_time answer_deadline(const pending& item, const upstream_pool& pool) const;
    void forget_outcomes(const upstream_id& id);
    void log_standing_changes();
    /// Returns the log position that an upstream must hold to serve `request`; unset if no
    /// sample of the primary's log proves the staleness bound, so that only the primary may.
    [[nodiscard]] std::optional<log_position> min_position_for(const group_request& request) const;
    /// Sends the request to an upstream, defers it, or refuses it.
    void place(const pending_ptr& item);
    /// Keeps the request until place_deferred() places it again.
    void defer(const pending_ptr& item);
    /// Latest time at which the request may be sent to an upstream.
    [[nodiscard]] steady_time latest_start(const group_request& request) const;
    /// Refuses the request after the current call has returned.
    void refuse_async(const pending_ptr& item, result_code code);
    void defer_or_refuse(const pending_ptr& item);
    /// Makes reads avoid a replica that refused one because it lacks the required position.
    void record_lagging(const upstream_id& upstream);
    void update_primary_outage();
    void send(const pending_ptr& item, const std::shared_ptr<upstream_pool>& pool,
              const std::optional<log_position>& min_position);
    void on_result(const pending_ptr& item, const std::shared_ptr<upstream_pool>& pool, work_result result);
    void on_answer(const pending_ptr& item, const std::shared_ptr<upstream_pool>& pool, work_result result);
    /// Defers the request to another attempt; false if its attempts or its time are used up.
    [[nodiscard]] bool retry(const pending_ptr& item, const upstream_id& failed_upstream,
                             milliseconds backoff);
    void refuse(const pending_ptr& item, result_code code);
    void place_deferred();
    /// Reports that the old primary is released once nothing runs there; closes its busy
    /// connections after m_old_primary_deadline.
    void release_old_primary_when_idle();
    [[nodiscard]] pool_limits limits_for(const upstream_entry& entry) const;

    group_options m_options;
    const clock_port& m_clock;
    const upstream_connector& m_connector;
    const confirmation_lease& m_lease;
    metrics& m_metrics;
    std::optional<steady_time> m_slow_start_until; ///< Set while this instance has just started.
    group_record m_record;
    freshness_floor m_freshness;
    std::shared_ptr<upstream_outcomes> m_outcomes; ///< Null unless outcomes are judged.
    std::map<upstream_id, std::shared_ptr<upstream_pool>> m_pools;
    group_spill m_spill; ///< Refers to m_pools.
    /// A replica whose log lacked the position that a read required.
    struct lagging_replica {
        steady_time m_avoid_until{};
        milliseconds m_backoff{0}; ///< Doubles while the replica stays behind.
    };

    primary_gap m_outage{gap_expectation{}};
    std::map<upstream_id, lagging_replica> m_lagging;
    std::set<upstream_id> m_departed; ///< Keys of m_pools without a registration.
    bool m_registry_complete{false};
    bool m_primary_refused_role{false};   ///< See has_primary_refused_role().
    std::optional<result_code> m_stopped; ///< Set by stop(): the reason.
    std::list<pending_ptr> m_deferred;    ///< Waiting for a usable upstream or the end of a backoff.
    std::function<void()> m_on_old_primary_released; ///< Set while the old primary is still in use.
    steady_time m_old_primary_deadline{};
    std::shared_ptr<bool> m_alive;
};

}
