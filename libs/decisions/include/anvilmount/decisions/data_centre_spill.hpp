/// \file data_centre_spill.hpp
/// Decides, for one group at one instance, which share of the reads of each rank leaves
/// the instance's data centre, and for which one.
///
/// A read pays to leave when its answer is expected so much sooner that the time saved
/// outweighs the price of its bytes. Time saved counts in full for work whose latency
/// target is at risk and less for work that has time left, so urgent work leaves first,
/// and bulky or patient work stays.
///
/// Shares move in small steps, one change of the group at a time, the most urgent rank
/// first. When a share turns, its steps become smaller, and the more changes there were in the last
/// minute, the longer the next one waits. Without a fresh
/// measurement of a data centre there is no share for it, and reads are placed as without
/// this decision. A data centre whose path is slow or loses answers gets trial reads only.
#pragma once

#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/path_time.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace anvilmount {

constexpr int spill_ranks = measured_ranks;

/// Why a share is what it is.
enum class spill_reason {
    unmeasured,  ///< No fresh measurement: reads are placed as without this decision.
    stays,       ///< Leaving does not pay.
    pays,        ///< The answer is expected sooner, by more than the bytes cost.
    no_room,     ///< Leaving pays, but the other side has no room.
    path_trouble ///< The path is slow or loses answers.
};

[[nodiscard]] std::string_view to_text(spill_reason reason);

/// What is measured of the upstreams of one data centre.
struct spill_side {
    std::array<microseconds, spill_ranks> m_wait{}; ///< Expected wait until a read is sent, by rank.
    /// From the arrival of a read at the upstream to its answer, by rank; unset: not known.
    std::array<std::optional<microseconds>, spill_ranks> m_work{};
    std::optional<microseconds> m_path{}; ///< There and back; unset: not measured apart from the work.
    double m_room{0};                     ///< Share of this instance's slots there that is free.
    steady_time m_measured_at{};          ///< When a read was last answered.
    bool m_is_silent{false};              ///< Answers are missing.
};

/// Returns the side that `there` measures. A rank that was not measured there lately is taken to need as
/// much longer there than here as another rank that was. `here` is the own data centre.
[[nodiscard]] spill_side measured_side(const path_time& there, const path_time& here, steady_time now);

/// What is known of the reads of one rank.
struct spill_demand {
    microseconds m_target{0}; ///< Latency target; 0: no read of the rank was seen.
    double m_kilobytes{0};    ///< Bytes of an answer.
};

/// What one step decides on.
struct spill_view {
    std::optional<spill_side> m_here; ///< Unset: no usable upstream in the instance's data centre.
    std::map<data_centre, spill_side> m_there;
    std::array<spill_demand, spill_ranks> m_demands{};
};

struct spill_options {
    double m_byte_price{0}; ///< Milliseconds of answer time for a kilobyte; 0: never decides.
    milliseconds m_phase{}; ///< Delays the first step, so that instances do not move at the same moment.
};

/// A change of one share.
struct spill_change {
    data_centre m_to{};
    int m_rank{0}; ///< 0: of all ranks.
    double m_share{0};
    spill_reason m_reason{spill_reason::stays};
    bool m_is_pressing{false}; ///< Half of the latency target is expected to pass here.
};

/// The data centres that one read may be sent to.
struct spill_route {
    std::optional<data_centre> m_only{}; ///< Set: nowhere else.
    std::vector<data_centre> m_excluded{};
    bool m_is_trial{false};

    [[nodiscard]] bool permits(const data_centre& where) const;
};

/// See the file comment.
class data_centre_spill {
public:
    /// Time between two steps. Shorter steps would act on answers from before the last one.
    static constexpr milliseconds step_interval{2000};
    /// The first six changes of a minute are a step apart, the next six two steps, and so on up to eight;
    /// changes for work whose latency target is at risk are a step apart.
    static constexpr int changes_per_doubling = 6;
    static constexpr int max_changes_per_minute = 30;
    /// A data centre that was measured longer ago has no share.
    static constexpr milliseconds max_age = path_time::max_age;
    /// One trial read per data centre in this time.
    static constexpr milliseconds trial_interval{2000};
    /// Greatest change of a share while its latency target is not at risk. A share that turns changes in
    /// smaller steps.
    static constexpr double share_step = 0.1;
    /// The rest stays, so that the own data centre is still measured.
    static constexpr double max_share = 0.9;
    /// A path that takes longer is in trouble: seven times the longest between healthy data centres.
    static constexpr microseconds slow_path{10000};

    data_centre_spill(data_centre here, spill_options options);

    [[nodiscard]] bool is_enabled() const { return m_options.m_byte_price > 0; }
    [[nodiscard]] bool is_step_due(steady_time now) const;

    /// Adapts the shares. Returns what has changed; at most one change, unless a path got into trouble.
    std::vector<spill_change> step(const spill_view& view, steady_time now);

    /// Returns where the read with this number may go. Consecutive numbers spread evenly over the shares.
    [[nodiscard]] spill_route route(int rank, std::uint64_t number, steady_time now);

    /// Counts a read that was placed, to take over its share when measurements begin.
    void record_placed(int rank, const data_centre& where);

    /// The present share of a rank and its reason; unset while `where` is unmeasured.
    [[nodiscard]] std::optional<spill_change> share(int rank, const data_centre& where) const;

private:
    struct rank_state {
        double m_share{0};
        spill_reason m_reason{spill_reason::stays};
        int m_direction{0}; ///< Of the last change: 1 up, -1 down.
        double m_step{share_step};
    };
    /// What is decided about one other data centre.
    struct remote {
        bool m_is_measured{false};
        bool m_in_trouble{false};
        bool m_is_slow{false};
        steady_time m_path_measured_at{};
        steady_time m_measured_at{};
        steady_time m_next_trial{};
        std::array<rank_state, spill_ranks> m_ranks{};
    };
    /// How much sooner an answer is expected there than here, less the price of its bytes; unset: not
    /// known.
    [[nodiscard]] std::optional<microseconds> advantage(int rank, const spill_view& view,
                                                        const spill_side& there) const;
    void adopt_measurements(const spill_view& view, steady_time now, std::vector<spill_change>& changes);
    /// Take one share down or up by a step, and return the change.
    [[nodiscard]] std::optional<spill_change> lower_one(const spill_view& view);
    [[nodiscard]] std::optional<spill_change> raise_one(const spill_view& view);
    /// Moves the share by at most `limit` up (direction 1) or down (-1). `is_pressing`: in a larger step.
    void change_share(rank_state& state, int direction, double limit, bool is_pressing);
    [[nodiscard]] double placed_share(int rank, const data_centre& where) const;
    [[nodiscard]] double leaving_share(int rank) const;

    data_centre m_here;
    spill_options m_options;
    std::optional<steady_time> m_next_step;
    /// Times of the changes of the last minute. The more there are, the longer the next one waits.
    std::deque<steady_time> m_recent_changes;
    steady_time m_next_change{};
    std::map<data_centre, remote> m_remotes;
    bool m_here_is_measured{false};
    bool m_here_is_busy{false}; ///< Only then are trial reads worth the price of their bytes.
    std::array<std::map<data_centre, double>, spill_ranks> m_placed;
};

}
