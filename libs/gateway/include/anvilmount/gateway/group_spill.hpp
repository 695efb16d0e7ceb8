/// \file group_spill.hpp
/// Measures a group's reads by data centre, and applies the shares that data_centre_spill decides.
/// Everything is measured from the answers that this instance gets anyway; nothing is sent for it.
/// At price 0 it neither measures nor decides.
#pragma once

#include "anvilmount/decisions/data_centre_spill.hpp"
#include "anvilmount/decisions/path_time.hpp"
#include "anvilmount/decisions/upstream_choice.hpp"
#include "anvilmount/gateway/upstream_pool.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <map>
#include <memory>
#include <span>

namespace anvilmount::gateway {

struct group_options;
struct group_request;

/// See the file comment. Not thread-safe.
class group_spill {
public:
    using pool_map = std::map<upstream_id, std::shared_ptr<upstream_pool>>;

    group_spill(const group_options& options, const pool_map& pools, metrics& counters);

    /// Chooses the upstream of a read within the data centres that the shares permit. Where none of their
    /// upstreams can serve the read, all candidates are considered.
    [[nodiscard]] std::optional<upstream_id> choose(const group_request& request,
                                                    std::span<const read_candidate> candidates,
                                                    const read_constraints& constraints, steady_time now);

    void record_sent(const group_request& request, const upstream_entry& upstream, steady_time now);
    void record_result(const group_request& request, const upstream_entry& upstream,
                       const work_result& result, steady_time now);

    /// To be called every few milliseconds. Adapts the shares when it is time. `primary` is not counted as
    /// a place for reads.
    void tick(const upstream_id& primary, steady_time now);

    /// The shares and their reasons, for operators; empty at price 0.
    [[nodiscard]] nlohmann::json state() const;

private:
    /// Measured of the reads of one rank.
    struct read_kind {
        microseconds m_target{0};
        double m_kilobytes{0};
    };

    [[nodiscard]] spill_view view(const upstream_id& primary, steady_time now) const;
    [[nodiscard]] const data_centre* centre_of(const upstream_id& id) const;
    void record_answer(const group_request& request, const data_centre& where, const work_result& result,
                       steady_time now);

    group_name m_group;
    data_centre m_here;
    const pool_map& m_pools;
    metrics& m_metrics;
    data_centre_spill m_decision;
    std::map<data_centre, path_time> m_times;
    std::map<upstream_id, double> m_in_progress;  ///< Statements that run or wait, smoothed over ticks.
    std::map<data_centre, steady_time> m_busy_at; ///< When an upstream there last refused a read.
    std::array<read_kind, spill_ranks> m_reads{};
    std::uint64_t m_next_number{0};
};

}
