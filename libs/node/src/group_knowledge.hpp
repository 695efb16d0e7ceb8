/// \file group_knowledge.hpp
/// The configuration in force and this instance's view of each database group.
/// All shards share one object; each group's view has its own lock.
#pragma once

#include "membership.hpp"

#include "anvilmount/decisions/configuration.hpp"
#include "anvilmount/decisions/group_view.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <mutex>

namespace anvilmount {

/// A group's view, guarded by a lock.
class shared_group {
public:
    explicit shared_group(const group_spec& spec) : m_view(spec) {}

    /// Calls `work` with the view while holding the lock, and returns its result.
    template <class Work>
    auto with(Work work) {
        const std::lock_guard guard(m_lock);
        return work(m_view);
    }

private:
    std::mutex m_lock;
    group_view m_view; ///< Guarded by m_lock.
};

class group_knowledge {
public:
    /// Puts a configuration in force. Groups that remain keep their views. Returns
    /// false, and changes nothing, unless its revision is above the one in force.
    bool adopt(std::shared_ptr<const configuration> changed);

    /// Returns the configuration in force. Never null; revision 0 until the first one is adopted.
    [[nodiscard]] std::shared_ptr<const configuration> current() const;

    /// Returns the group's view, or null when the configuration has no such group.
    [[nodiscard]] std::shared_ptr<shared_group> find(const group_name& name) const;

    /// Returns status output: each group's term, its coordinator, and its upstreams
    /// with their homes and this instance's view of them.
    [[nodiscard]] nlohmann::json dump(const membership& members, steady_time now) const;

private:
    mutable std::mutex m_lock;
    std::shared_ptr<const configuration> m_configuration{
        std::make_shared<configuration>()};                       ///< Guarded by m_lock.
    std::map<group_name, std::shared_ptr<shared_group>> m_groups; ///< Guarded by m_lock.
};

}
