/// \file promise_ledger.hpp
/// Checks what an instance promises from both ends: what callers asked and were
/// told, and what upstreams ran and committed. No I/O and no clock; each event
/// is told in the order in which it happens.
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

/// One database as callers know it.
struct soak_route {
    std::string m_database{};
    std::string m_group{};
    freshness m_freshness{freshness::every_commit};
    anvilmount::milliseconds m_max_staleness{0}; ///< Commits acknowledged before that must be seen.
};

/// One statement as a caller sends it.
struct sent_statement {
    std::string m_id{};
    std::string m_text{}; ///< For EXECUTE, the name is replaced by access and shape.
    std::uint64_t m_session{0};
    std::uint64_t m_attempt{0}; ///< One try of an operation.
    bool m_in_transaction{false};
    anvilmount::steady_time m_at{};
};

/// What a caller was told.
struct received_answer {
    bool m_success{false};
    bool m_guarantees_no_effect{false}; ///< The code says that nothing of the attempt is kept.
    std::string m_proof{};
    std::vector<std::string> m_rows{};
};

class promise_ledger {
public:
    /// `newest_leader` names a group's newest leader, `log_of` an upstream's log.
    promise_ledger(std::function<std::string(const std::string& group)> current_primary,
                   std::function<const standin::line_log&(const std::string& upstream)> log_of)
        : m_current_primary(std::move(current_primary)), m_log_of(std::move(log_of)) {}

    void on_session_opened(std::uint64_t session, const soak_route& route);
    void on_statement_sent(const sent_statement& what);
    void on_answer_received(const std::string& id, const received_answer& what,
                            anvilmount::steady_time now);
    void on_value_set(std::uint64_t session, const std::string& name, const std::string& value);

    void on_statement_run(const standin::line_run& what);

    /// `superseded`: a newer leader has taken over; `excused`: the sender or the
    /// path was held up, so that the write may have been under way.
    void on_committed(const standin::line_commit& what, bool superseded, bool excused);
    [[nodiscard]] bool has_run(const std::string& id) const;
    void on_promotion_ordered(const std::string& holder, std::uint64_t token);

    void report(const std::string& what);
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    [[nodiscard]] std::uint64_t successes(const std::string& database) const;

private:
    struct session {
        soak_route m_route{};
        std::map<std::string, std::string> m_values{};
    };

    struct attempt {
        std::optional<anvilmount::steady_time> m_started{}; ///< When its first statement was sent.
        std::optional<std::uint64_t> m_transaction{};       ///< Of the upstream.
        bool m_commit_sent{false};
        bool m_no_effect_guaranteed{false};
        std::set<std::string> m_committed{}; ///< Writes that took effect.
    };

    struct run {
        std::string m_upstream{};
        std::string m_proof{};
        std::vector<std::string> m_rows{};
        std::string m_missing_commit{}; ///< What the log lacked; empty for none.
    };

    struct statement {
        sent_statement m_sent{};
        std::vector<run> m_runs{}; ///< More than one where a read was repeated.
    };

    struct commit_record {
        std::uint64_t m_session{0};
        std::string m_id{};
        std::string m_group{};
        std::size_t m_log_index{0}; ///< Place in the log, from 0.
        std::optional<anvilmount::steady_time> m_acknowledged{};
        bool m_superseded{false};
    };

    void check_run(const statement& known, const standin::line_run& what);
    [[nodiscard]] std::string find_missing_commit(const statement& read,
                                                  const standin::line_run& what) const;
    void record_acknowledgement(const statement& known, anvilmount::steady_time now);

    std::function<std::string(const std::string&)> m_current_primary;
    std::function<const standin::line_log&(const std::string&)> m_log_of;
    std::map<std::uint64_t, session> m_sessions;
    std::map<std::uint64_t, attempt> m_attempts;
    std::map<std::string, statement> m_statements;
    std::map<std::uint64_t, std::uint64_t>
        m_transaction_attempts;                        ///< Attempt of each upstream transaction.
    std::map<std::string, std::size_t> m_commit_index; ///< Index into m_commits, by writing statement.
    std::vector<commit_record> m_commits;
    std::map<std::string, std::vector<std::size_t>> m_acknowledged; ///< By group, in order.
    std::map<std::string, std::uint64_t> m_successes;
    std::uint64_t m_newest_token{0};
    std::string m_newest_holder;
    std::vector<std::string> m_violations;
};

}
