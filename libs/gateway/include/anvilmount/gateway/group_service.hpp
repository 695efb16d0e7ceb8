/// \file group_service.hpp
/// Serves the requests for one database group: chooses the upstream, repeats
/// what may be repeated, and uses the primary only as the group's record and
/// the lease allow.
#pragma once

#include "anvilmount/decisions/confirmation_lease.hpp"
#include "anvilmount/decisions/freshness_floor.hpp"
#include "anvilmount/decisions/group_holders.hpp"
#include "anvilmount/decisions/group_record.hpp"
#include "anvilmount/decisions/primary_gap.hpp"
#include "anvilmount/decisions/upstream_choice.hpp"
#include "anvilmount/gateway/upstream_pool.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>

namespace anvilmount::gateway {

/// How one request may be placed.
enum class placement_need {
    primary,         ///< Writes, plain transactions, and reads that must see every commit.
    fresh_enough,    ///< Reads that a replica may serve.
    same_connection, ///< Inside a transaction.
};

struct group_request {
    std::uint64_t m_caller{0};
    std::string m_id{}; ///< Of the statement, for the log.
    int m_rank{2};
    placement_need m_need{placement_need::primary};
    bool m_repeatable{false}; ///< Reads, and the begin of a transaction: a lost answer harms nothing.
    bool m_acknowledges_write{false};
    steady_time m_arrived{};
    steady_time m_deadline{};
    steady_time m_target{};                        ///< An answer after this moment comes late.
    std::optional<milliseconds> m_max_age{};       ///< For fresh_enough.
    std::optional<log_position> m_session_floor{}; ///< Commits of the session, already in the current term.
    link_handle m_link{};                          ///< For same_connection.
    std::shared_ptr<upstream_pool> m_pool{};       ///< For same_connection.
    std::shared_ptr<const session_values> m_values{};
    outgoing_statement m_statement{};
    std::optional<outgoing_statement> m_prepare{};
};

struct group_reply {
    work_end m_end{work_end::not_run};
    answer m_answer{};
    result_code m_code{result_code::queue_full}; ///< Unless answered.
    link_handle m_link{};                        ///< When answered.
    std::shared_ptr<upstream_pool> m_pool{};     ///< When answered.
    std::uint64_t m_term{0};                     ///< Of the group when it was answered.
};

struct group_options {
    group_name m_name{};
    data_centre m_data_centre{}; ///< Of this instance.
    holding_limits m_limits{};   ///< Of one upstream.
    int m_instances{1};          ///< That hold connections to this group.
    bool m_holds{true};          ///< This one does; else it opens one only when asked to.
    bool m_stewards{false};      ///< Keeps one to each upstream all the same, to ask for its state.
};

class group_service {
public:
    group_service(group_options options, const clock_port& clock, const upstream_connector& connector,
                  const confirmation_lease& lease, metrics& counters);

    void set_options(const group_options& options);
    [[nodiscard]] const group_options& options() const { return m_options; }

    /// Takes in the upstreams registered for this group. `settled`: one that is missing is gone.
    void adopt_upstreams(const upstream_registry& registered, bool settled);
    [[nodiscard]] bool registry_settled() const { return m_registry_settled; }

    /// Takes in a newer record. `on_agreed` is called once nothing here uses a
    /// primary that the record replaces.
    void adopt_record(const group_record& record, std::function<void()> on_agreed);

    /// Answers through `done` exactly once, never from within submit().
    void submit(group_request request, std::function<void(group_reply)> done);

    void tick();

    [[nodiscard]] const group_record& record() const { return m_record; }
    [[nodiscard]] const freshness_floor& freshness() const { return m_freshness; }
    [[nodiscard]] bool may_use_primary() const;
    [[nodiscard]] const std::map<upstream_id, std::shared_ptr<upstream_pool>>& pools() const {
        return m_pools;
    }

    /// Returns whether the recorded primary has not answered this instance lately.
    [[nodiscard]] bool misses_primary(milliseconds for_at_least) const;

    /// Asks the primary for a sign of life unless it gave one lately.
    void look_after_primary() const;

private:
    struct pending {
        group_request m_request{};
        std::function<void(group_reply)> m_done{};
        int m_tries{0};
        steady_time m_not_before{};
        std::vector<upstream_id> m_avoid{}; ///< Have failed to serve it.
    };
    using pending_ptr = std::shared_ptr<pending>;

    [[nodiscard]] bool accepts_new_primary_work() const;
    [[nodiscard]] std::shared_ptr<upstream_pool> pool_of(const upstream_id& id) const;
    [[nodiscard]] std::shared_ptr<upstream_pool> choose(pending& each, std::optional<log_position>& floor);
    [[nodiscard]] std::optional<log_position> floor_for(const group_request& request) const;
    void place(const pending_ptr& each);
    void hold(const pending_ptr& each);
    [[nodiscard]] steady_time latest_start(const group_request& request) const;
    void refuse_soon(const pending_ptr& each, result_code code);
    void wait_or_refuse(const pending_ptr& each);
    void note_behind(const upstream_id& upstream);
    void note_gap();
    void send(const pending_ptr& each, const std::shared_ptr<upstream_pool>& pool,
              const std::optional<log_position>& floor);
    void on_result(const pending_ptr& each, const std::shared_ptr<upstream_pool>& pool, work_result result);
    void on_answer(const pending_ptr& each, const std::shared_ptr<upstream_pool>& pool, work_result result);
    [[nodiscard]] bool repeat(const pending_ptr& each, const upstream_id& avoid, milliseconds pause);
    void refuse(const pending_ptr& each, result_code code);
    void release_held();
    void agree_when_idle();
    [[nodiscard]] pool_limits limits_for(const upstream_entry& entry) const;

    group_options m_options;
    const clock_port& m_clock;
    const upstream_connector& m_connector;
    const confirmation_lease& m_lease;
    metrics& m_metrics;
    std::optional<steady_time> m_one_connection_until; ///< Set while this instance is new.
    group_record m_record;
    freshness_floor m_freshness;
    std::map<upstream_id, std::shared_ptr<upstream_pool>> m_pools;
    /// A replica that lacked a position that was asked for.
    struct found_behind {
        steady_time m_until{};
        milliseconds m_pause{0}; ///< Doubles while it stays behind.
    };

    primary_gap m_gap{gap_expectation{}};
    std::map<upstream_id, found_behind> m_behind;
    bool m_registry_settled{false};
    std::list<pending_ptr> m_held;     ///< Waiting for a primary, or for a pause to end.
    std::function<void()> m_on_agreed; ///< Set while the old primary is still being left.
    steady_time m_leave_primary_by{};
    std::shared_ptr<bool> m_alive;
};

}
