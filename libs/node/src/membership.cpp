/// \file membership.cpp
/// Orders instances by home_order() and caches each upstream's home.
#include "membership.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

std::vector<instance_view> in_home_order(const std::vector<instance_view>& views,
                                         const upstream_id& upstream, const data_centre& centre) {
    std::vector<instance_view> ordered;
    for (const instance_id& id : home_order(views, upstream, centre)) {
        ordered.push_back(
            *std::find_if(views.begin(), views.end(), [&](const auto& each) { return each.m_id == id; }));
    }
    return ordered;
}

}

membership::membership(instance_view self) : m_self(std::move(self)), m_instances{m_self} {}

void membership::adopt(std::vector<instance_view> listed) {
    std::erase_if(listed, [&](const instance_view& each) { return each.m_id == m_self.m_id; });
    listed.push_back(m_self);
    const std::lock_guard guard(m_lock);
    m_instances = std::move(listed);
    m_cached_homes.clear();
    if (m_self_leaving) {
        m_instances.back().m_state = instance_state::leaving;
    }
}

void membership::suspect(const instance_id& instance, steady_time until) {
    const std::lock_guard guard(m_lock);
    steady_time& known = m_suspected_until[instance];
    known = std::max(known, until);
    m_cached_homes.clear();
}

void membership::clear_suspicion(const instance_id& instance) {
    const std::lock_guard guard(m_lock);
    if (m_suspected_until.erase(instance) > 0) {
        m_cached_homes.clear();
    }
}

void membership::set_self_leaving() {
    const std::lock_guard guard(m_lock);
    m_self_leaving = true;
    m_cached_homes.clear();
    for (instance_view& each : m_instances) {
        if (each.m_id == m_self.m_id) {
            each.m_state = instance_state::leaving;
        }
    }
}

std::vector<instance_view> membership::instances(steady_time now) const {
    const std::lock_guard guard(m_lock);
    return views_locked(now);
}

std::vector<instance_view> membership::views_locked(steady_time now) const {
    std::vector<instance_view> views = m_instances;
    for (instance_view& each : views) {
        const auto suspected = m_suspected_until.find(each.m_id);
        if (suspected != m_suspected_until.end() && suspected->second > now &&
            each.m_state == instance_state::live) {
            each.m_state = instance_state::suspected;
        }
    }
    return views;
}

std::vector<instance_view> membership::home_candidates(const upstream_id& upstream,
                                                       const data_centre& centre, steady_time now) const {
    return in_home_order(instances(now), upstream, centre);
}

instance_view membership::home_of(const upstream_id& upstream, const data_centre& centre,
                                  steady_time now) const {
    const std::lock_guard guard(m_lock);
    const auto cached = m_cached_homes.find(upstream);
    if (cached != m_cached_homes.end() && now < cached->second.m_valid_until) {
        return cached->second.m_home;
    }
    steady_time valid_until = steady_time::max();
    for (const auto& [id, until] : m_suspected_until) {
        valid_until = until > now ? std::min(valid_until, until) : valid_until;
    }
    const instance_view home = in_home_order(views_locked(now), upstream, centre).front();
    m_cached_homes[upstream] = {.m_home = home, .m_valid_until = valid_until};
    return home;
}

std::vector<instance_view> membership::home_candidates_ignoring_suspicion(const upstream_id& upstream,
                                                                          const data_centre& centre) const {
    const std::lock_guard guard(m_lock);
    return in_home_order(m_instances, upstream, centre);
}

std::size_t membership::size() const {
    const std::lock_guard guard(m_lock);
    return m_instances.size();
}

nlohmann::json membership::dump(steady_time now) const {
    nlohmann::json listed = nlohmann::json::array();
    for (const instance_view& each : instances(now)) {
        const char* state = each.m_state == instance_state::live        ? "live"
                            : each.m_state == instance_state::suspected ? "suspected"
                                                                        : "leaving";
        listed.push_back({{"id", each.m_id.m_text},
                          {"peer", to_string(each.m_peer_address)},
                          {"data_centre", each.m_data_centre.m_text},
                          {"state", state}});
    }
    return listed;
}

}
