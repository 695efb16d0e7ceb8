/// \file membership.hpp
/// The instances that this instance knows, and which of them it could not reach
/// lately. Shared by all shards. The platform's list says who exists; what this
/// instance sees for itself only changes the order in which it asks.
#pragma once

#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/placement.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace anvilmount {

class membership {
public:
    explicit membership(instance_view self);

    /// Takes over the platform's list. This instance always stays in it.
    void adopt(std::vector<instance_view> listed);

    /// Believes `instance` unreachable until that moment.
    void suspect(const instance_id& instance, steady_time until);
    void clear_suspicion(const instance_id& instance);
    void set_self_leaving();

    /// Returns the instances that may hold the upstream, its home first.
    [[nodiscard]] std::vector<instance_view>
    home_candidates(const upstream_id& upstream, const data_centre& centre, steady_time now) const;

    /// Returns the home of the upstream. Kept until something changes, since every
    /// statement asks.
    [[nodiscard]] instance_view home_of(const upstream_id& upstream, const data_centre& centre,
                                        steady_time now) const;

    /// Returns the same line without regard to what this instance suspects.
    [[nodiscard]] std::vector<instance_view>
    home_candidates_ignoring_suspicion(const upstream_id& upstream, const data_centre& centre) const;

    [[nodiscard]] bool is_self(const instance_id& instance) const { return instance == m_self.m_id; }
    [[nodiscard]] const instance_view& self() const { return m_self; }
    [[nodiscard]] std::vector<instance_view> instances(steady_time now) const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] nlohmann::json dump(steady_time now) const;

private:
    struct cached_home {
        instance_view m_home;
        steady_time m_valid_until; ///< By then some suspicion ends.
    };

    [[nodiscard]] std::vector<instance_view> views_locked(steady_time now) const;

    const instance_view m_self;
    mutable std::mutex m_lock;
    std::vector<instance_view> m_instances;               ///< Guarded by m_lock; holds m_self.
    std::map<instance_id, steady_time> m_suspected_until; ///< Guarded by m_lock.
    bool m_self_leaving{false};                           ///< Guarded by m_lock.
    mutable std::map<upstream_id, cached_home>
        m_cached_homes; ///< Guarded by m_lock; emptied by every change.
};

}
