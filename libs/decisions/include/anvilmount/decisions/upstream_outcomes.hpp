/// \file upstream_outcomes.hpp
/// Judges the upstreams of one group by the outcomes of their work and not by what they say of
/// themselves (outlier detection). An upstream whose work fails, goes unanswered or takes longer than
/// that of the others of its group gets less work at first, then only trial work, and then work again
/// in steps. One that becomes bad again soon stays out longer each time. At least half of the usable
/// replicas stay in use. See docs/design/17-scheduling-under-overload.md.
#pragma once

#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/configuration.hpp"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace anvilmount {

/// What became of one statement at an upstream.
enum class work_sign {
    served,
    failed,     ///< Answered as failed.
    busy,       ///< Refused by the upstream as not run.
    unanswered, ///< No answer in time.
    reset       ///< The connection was lost before the answer.
};

struct observed_work {
    work_sign m_sign{work_sign::served};
    int m_rank{2};
    microseconds m_answer_time{0}; ///< If served.
    /// Whether the answer time may be compared with other upstreams: not for work that only a primary does.
    bool m_is_comparable{true};
};

enum class upstream_standing {
    in_use,
    reduced,  ///< Gets a share of its work.
    on_trial, ///< Gets single reads.
    returning ///< Gets a share that grows.
};

[[nodiscard]] std::string_view name_of(upstream_standing standing);

/// A change of an upstream's standing, for the log.
struct standing_change {
    upstream_id m_upstream;
    upstream_standing m_from{upstream_standing::in_use};
    upstream_standing m_to{upstream_standing::in_use};
    std::string_view m_reason;
};

/// A usable upstream, before a read is placed.
struct judged_candidate {
    upstream_id m_id;
    bool m_is_primary{false};
};

/// Which upstreams a read avoids.
struct read_selection {
    std::vector<upstream_id> m_withheld; ///< In use only if nothing else can serve the read.
    std::optional<upstream_id> m_trial;  ///< Withheld, and due for a trial: this read may be one.
};

/// The judgement of all upstreams of one group.
class upstream_outcomes {
public:
    /// Records the outcome of one statement and judges the upstream by it.
    void record(const upstream_id& upstream, const observed_work& work, steady_time now);

    /// Records that the upstream stopped to answer or refused a connection. Once is an ordinary restart;
    /// twice within a short time is flapping.
    void record_down(const upstream_id& upstream, steady_time now);

    /// Forgets an upstream that left the group or was started anew.
    void forget(const upstream_id& upstream) { m_upstreams.erase(upstream); }

    /// Chooses what the next read avoids. Counts as one read for upstreams that get a share.
    [[nodiscard]] read_selection select(std::span<const judged_candidate> candidates, steady_time now);

    /// The read after select() goes to m_trial.
    void start_trial(const upstream_id& upstream, steady_time now);

    /// Whether an upstream that is not in full use may serve a read that would be refused otherwise: it
    /// serves most of its work. A refused caller may come back, one whose statement failed does not.
    [[nodiscard]] bool may_serve_overflow(const upstream_id& upstream, steady_time now) const;

    [[nodiscard]] upstream_standing standing_of(const upstream_id& upstream) const;

    /// Returns the changes since the last call.
    [[nodiscard]] std::vector<standing_change> take_changes();

private:
    /// Served work of one rank whose answer time is comparable.
    struct answer_times {
        int m_count{0};
        microseconds m_sum{0};
    };

    /// Outcomes of a part of the window.
    struct bucket {
        steady_time m_start{};
        int m_work{0};
        int m_errors{0};
        std::array<answer_times, rank_count> m_times{}; ///< Index: rank - 1.
    };

    struct judged_upstream {
        std::deque<bucket> m_window; ///< Oldest first; emptied when the standing changes.
        upstream_standing m_standing{upstream_standing::in_use};
        steady_time m_since{};         ///< Of the standing, or of its step.
        steady_time m_hold_until{};    ///< No return before.
        milliseconds m_hold{0};        ///< Of the newest restriction; 0: none lately.
        steady_time m_restricted_at{}; ///< When work was last taken away.
        std::optional<steady_time> m_last_down;
        steady_time m_next_trial{};
        int m_good_in_row{0};  ///< Outcomes on trial.
        std::size_t m_step{0}; ///< Of the return.
        double m_credit{0};    ///< Reads that it may get; a share is added with each read.
    };

    void advance(const upstream_id& id, judged_upstream& upstream, steady_time now);
    void change(const upstream_id& id, judged_upstream& upstream, upstream_standing to,
                std::string_view reason, steady_time now);
    /// Takes work away: less at first, then all but trials.
    void restrict(const upstream_id& id, judged_upstream& upstream, std::string_view reason,
                  steady_time now);
    void put_on_trial(const upstream_id& id, judged_upstream& upstream, std::string_view reason,
                      steady_time now);
    /// Returns the sum of the window.
    [[nodiscard]] static bucket sum_of(const judged_upstream& upstream, steady_time now);
    /// Returns the sum of the windows of the other upstreams in use.
    [[nodiscard]] bucket sum_of_others(const upstream_id& id, steady_time now) const;
    /// Returns what makes the upstream worse than the others; empty if nothing does.
    [[nodiscard]] std::string_view fault_of(const upstream_id& id, const judged_upstream& upstream,
                                            steady_time now) const;
    /// Whether one outcome on trial is as good as those of the others.
    [[nodiscard]] bool is_good(const upstream_id& id, const observed_work& work, steady_time now) const;

    std::map<upstream_id, judged_upstream> m_upstreams;
    std::vector<standing_change> m_changes;
};

}
