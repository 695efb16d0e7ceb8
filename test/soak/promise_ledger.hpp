/// \file promise_ledger.hpp
/// Checks the guarantees of the gateways in a soak: compares what callers sent and
/// received with what the upstreams ran and committed, and records each violation.
/// Does no I/O and reads no clock; events must be reported in the order in which
/// they happen.
#pragma once

#include "line_platform/line_upstreams.hpp"

#include "anvilmount/base/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace test {

enum class freshness { every_commit, own_commits, bounded_age };

/// A database name that callers connect to, and the consistency that its reads must have.
struct soak_route {
    std::string m_database{};
    std::string m_group{};
    freshness m_freshness{freshness::every_commit};
    /// Reads must see commits that were acknowledged longer ago.
    anvilmount::milliseconds m_max_staleness{0};
};

/// A statement as a caller sent it.
struct sent_statement {
    std::string m_id{};
    std::string m_text{}; ///< For EXECUTE, with access and shape in place of the prepared name.
    std::uint64_t m_session{0};
    std::uint64_t m_attempt{0}; ///< Shared by the statements of one attempt of an operation.
    bool m_in_transaction{false};
    bool m_before_half_close{false}; ///< The caller shuts down its sending direction after this operation.
    anvilmount::steady_time m_at{};
};

/// The answer that a caller received. A complete one has either succeeded or failed.
struct received_answer {
    bool m_success{false};
    bool m_failed{false};
    bool m_guarantees_no_effect{false}; ///< The error code says that nothing of the attempt took effect.
    std::string m_proof{};
    std::vector<std::string> m_rows{};
};

/// What the soak has done to a gateway process, and when it was last seen.
struct gateway_life {
    bool m_killed{false};                                       ///< By a fault, with SIGKILL.
    std::optional<anvilmount::steady_time> m_told_to_stop{};    ///< When SIGTERM was sent.
    std::optional<anvilmount::steady_time> m_suspended_until{}; ///< End of the newest suspension.
    bool m_ended{false};
    anvilmount::steady_time m_last_seen{}; ///< When it was last seen running.
};

/// A connection that was not refused (ECONNREFUSED) and ended without READY.
struct ended_start {
    std::optional<anvilmount::steady_time> m_connected_at{}; ///< Unset: reset before the caller noticed.
    anvilmount::steady_time m_ended_at{};
    /// The kernel of the gateway has acknowledged the START line: the connection was accepted, or waited to
    /// be.
    bool m_was_received{false};
    bool m_was_answered{false}; ///< With one ERROR line.
    bool m_was_reset{false};
};

/// A connection without any line that a gateway which was told to stop has reset, and of which no START
/// line was acknowledged: the kernel resets a handshake that is under way as a listening port closes. Times
/// since SIGTERM.
struct reset_start {
    std::optional<anvilmount::milliseconds> m_connected_after{};
    anvilmount::milliseconds m_reset_after{};
};

/// Records the events of a soak run and checks each against the earlier ones.
class promise_ledger {
public:
    /// `current_primary` returns the primary with the newest term of a group, `log_of` the log of an
    /// upstream.
    promise_ledger(std::function<std::string(const std::string& group)> current_primary,
                   std::function<const standin::line_log&(const std::string& upstream)> log_of)
        : m_current_primary(std::move(current_primary)), m_log_of(std::move(log_of)) {}

    void on_session_opened(std::uint64_t session, const soak_route& route);
    void on_statement_sent(const sent_statement& what);
    void on_answer_received(const std::string& id, const received_answer& what,
                            anvilmount::steady_time now);
    /// The gateway that held the caller's connection closed it before the answer to `id` was complete.
    /// `life` includes what happened shortly after: a gateway that leaves goes on for 100 ms after it has
    /// announced the end of its sessions, and while callers are connected.
    void on_closed_unanswered(const std::string& id, const gateway_life& life);
    void on_start_ended(const ended_start& what, const gateway_life& life);
    void on_value_set(std::uint64_t session, const std::string& name, const std::string& value);

    void on_statement_run(const standin::line_execution& what);

    /// `superseded`: the group already has a newer primary. `excused`: the sender or its path was
    /// delayed, so the write may have been in flight when the primary changed.
    void on_committed(const standin::line_commit& what, bool superseded, bool excused);
    [[nodiscard]] bool has_run(const std::string& id) const;
    void on_promotion_ordered(const std::string& holder, std::uint64_t token);

    /// Records a violation.
    void report(const std::string& what);
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    /// Statements that a closed connection left unanswered with an excuse, by excuse.
    [[nodiscard]] const std::map<std::string, int>& excused() const { return m_excused; }
    [[nodiscard]] const std::vector<reset_start>& reset_starts() const { return m_reset_starts; }
    /// Number of reads, writes and COMMITs that succeeded.
    [[nodiscard]] std::uint64_t successes(const std::string& database) const;

private:
    struct session {
        soak_route m_route{};
        std::map<std::string, std::string> m_values{};
    };

    struct attempt {
        std::optional<anvilmount::steady_time> m_started{}; ///< When its first statement was sent.
        std::optional<std::uint64_t> m_transaction{};       ///< Transaction number at the upstream.
        bool m_commit_sent{false};
        bool m_no_effect_guaranteed{false};
        std::set<std::string> m_committed{}; ///< Writes that took effect.
    };

    struct run {
        std::string m_upstream{};
        std::string m_proof{};
        std::vector<std::string> m_rows{};
        std::string m_missing_commit{}; ///< Commit that the read had to see and did not; empty if none.
    };

    struct statement {
        sent_statement m_sent{};
        std::vector<run> m_runs{}; ///< More than one if a read was retried.
    };

    struct commit_record {
        std::uint64_t m_session{0};
        std::string m_id{};
        std::string m_group{};
        std::size_t m_log_index{0}; ///< From 0.
        std::optional<anvilmount::steady_time> m_acknowledged{};
        bool m_superseded{false};
    };

    void check_run(const statement& known, const standin::line_execution& what);
    [[nodiscard]] std::string find_missing_commit(const statement& read,
                                                  const standin::line_execution& what) const;
    void record_acknowledgement(const statement& known, anvilmount::steady_time now);

    std::function<std::string(const std::string&)> m_current_primary;
    std::function<const standin::line_log&(const std::string&)> m_log_of;
    std::map<std::uint64_t, session> m_sessions;
    std::map<std::uint64_t, attempt> m_attempts;
    std::map<std::string, statement> m_statements;
    std::map<std::uint64_t, std::uint64_t> m_transaction_attempts; ///< By upstream transaction.
    std::map<std::string, std::size_t> m_commit_index; ///< Index into m_commits, by writing statement.
    std::vector<commit_record> m_commits;
    std::map<std::string, std::vector<std::size_t>> m_acknowledged; ///< By group, in order.
    std::map<std::string, std::uint64_t> m_successes;
    std::uint64_t m_newest_token{0};
    std::string m_newest_holder;
    std::map<std::string, int> m_excused;
    std::vector<reset_start> m_reset_starts;
    std::vector<std::string> m_violations;
};

}
