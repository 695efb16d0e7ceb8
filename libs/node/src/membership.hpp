/// \file membership.hpp
/// The known instances, and which of them this instance suspects because it could
/// not reach them recently. Shared by all shards. The platform's list determines
/// which instances exist; suspicion only changes the order in which they are tried.
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

    /// Applies the platform's list. This instance is always part of the result.
    void adopt(std::vector<instance_view> listed);

    /// Treats `instance` as unreachable until `until`.
    void suspect(const instance_id& instance, steady_time until);
    void clear_suspicion(const instance_id& instance);

    /// Marks this instance as leaving, that is, being drained.
    void set_self_leaving();

    /// Returns all instances in the order in which they may own the upstream's home:
    /// the current home first, then its successors.
    [[nodiscard]] std::vector<instance_view>
    home_candidates(const upstream_id& upstream, const data_centre& centre, steady_time now) const;

    /// Returns the home of the upstream. The result is cached until membership or
    /// suspicion changes, since every statement needs it.
    [[nodiscard]] instance_view home_of(const upstream_id& upstream, const data_centre& centre,
                                        steady_time now) const;

    /// Returns the same order as home_candidates() would without any suspicion.
    [[nodiscard]] std::vector<instance_view>
    home_candidates_ignoring_suspicion(const upstream_id& upstream, const data_centre& centre) const;

    [[nodiscard]] bool is_self(const instance_id& instance) const { return instance == m_self.m_id; }
    [[nodiscard]] const instance_view& self() const { return m_self; }
    [[nodiscard]] std::vector<instance_view> instances(steady_time now) const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] nlohmann::json dump(steady_time now) const;

private:
    /// A cached result of home_of().
    struct cached_home {
        instance_view m_home;
        steady_time m_valid_until; ///< Earliest end of a suspicion, which may change the home.
    };

    /// Returns the instances with current suspicions applied. m_lock must be held.
    [[nodiscard]] std::vector<instance_view> views_locked(steady_time now) const;

    const instance_view m_self;
    mutable std::mutex m_lock;
    std::vector<instance_view> m_instances;               ///< Guarded by m_lock; holds m_self.
    std::map<instance_id, steady_time> m_suspected_until; ///< Guarded by m_lock.
    bool m_self_leaving{false};                           ///< Guarded by m_lock.
    mutable std::map<upstream_id, cached_home>
        m_cached_homes; ///< Guarded by m_lock; cleared by every change.
};

}
