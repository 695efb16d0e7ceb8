/// \file group_knowledge.cpp
/// Replaces the configuration as a whole and reports the groups' state.
#include "group_knowledge.hpp"

namespace anvilmount {

bool group_knowledge::adopt(std::shared_ptr<const configuration> changed) {
    const std::lock_guard guard(m_lock);
    if (changed->m_revision <= m_configuration->m_revision) {
        return false;
    }
    std::map<group_name, std::shared_ptr<shared_group>> groups;
    for (const group_spec& spec : changed->m_groups) {
        const auto known = m_groups.find(spec.m_name);
        if (known == m_groups.end()) {
            groups.emplace(spec.m_name, std::make_shared<shared_group>(spec));
            continue;
        }
        known->second->with([&](group_view& view) { view.adopt(spec); });
        groups.emplace(spec.m_name, known->second);
    }
    m_groups = std::move(groups);
    m_configuration = std::move(changed);
    return true;
}

std::shared_ptr<const configuration> group_knowledge::current() const {
    const std::lock_guard guard(m_lock);
    return m_configuration;
}

std::shared_ptr<shared_group> group_knowledge::find(const group_name& name) const {
    const std::lock_guard guard(m_lock);
    const auto known = m_groups.find(name);
    return known == m_groups.end() ? nullptr : known->second;
}

nlohmann::json group_knowledge::dump(const membership& members, steady_time now) const {
    nlohmann::json groups = nlohmann::json::object();
    const auto current_configuration = current();
    for (const group_spec& spec : current_configuration->m_groups) {
        const auto group = find(spec.m_name);
        if (!group) {
            continue;
        }
        nlohmann::json upstreams = nlohmann::json::array();
        const std::uint64_t term = group->with([&](group_view& view) {
            for (const upstream_view& each : view.upstreams()) {
                upstreams.push_back({{"name", each.m_id.m_text},
                                     {"believed_primary", each.m_is_primary},
                                     {"position", to_string(each.m_applied)},
                                     {"leaving", each.m_leaving},
                                     {"avoided", each.m_avoid_until > now},
                                     {"answer_time_us", each.m_smoothed_latency.count()}});
            }
            return view.term();
        });
        for (std::size_t index = 0; index < upstreams.size(); ++index) {
            const upstream_spec& upstream = spec.m_upstreams[index];
            upstreams[index]["home"] =
                members.home_candidates(upstream.m_id, upstream.m_data_centre, now).front().m_id.m_text;
        }
        const auto stewards = members.home_candidates(coordinator_key(spec.m_name), {}, now);
        groups[spec.m_name.m_text] = {
            {"term", term}, {"steward", stewards.front().m_id.m_text}, {"upstreams", upstreams}};
    }
    return groups;
}

}
