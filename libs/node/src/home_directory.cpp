/// \file home_directory.cpp
/// Reconciles homes and coordinators with placement at a fixed interval.
#include "home_directory.hpp"

namespace anvilmount {
namespace {

constexpr milliseconds reconcile_interval{200};

upstream_home_options options_for(const configuration& current, const group_spec& group,
                                  const upstream_spec& upstream) {
    return {.m_group = group, .m_upstream = upstream, .m_ranks = current.m_ranks};
}

}

std::size_t shard_of(const upstream_id& upstream, std::size_t shards) {
    return stable_hash(upstream.m_text) % shards;
}

home_directory::home_directory(shard& owner, std::size_t shards, const group_knowledge& knowledge,
                               membership& members)
    : m_shard(owner), m_shard_count(shards), m_knowledge(knowledge), m_members(members),
      m_peer_watch(owner, members) {
    schedule_reconcile();
}

void home_directory::schedule_reconcile() {
    m_shard.loop().after(reconcile_interval, [this] {
        reconcile();
        schedule_reconcile();
    });
}

upstream_home* home_directory::find_or_create(const upstream_id& upstream) {
    const auto known = m_homes.find(upstream);
    if (known != m_homes.end()) {
        return known->second.get();
    }
    const auto current = m_knowledge.current();
    for (const group_spec& group : current->m_groups) {
        for (const upstream_spec& each : group.m_upstreams) {
            if (each.m_id == upstream) {
                auto home = std::make_unique<upstream_home>(m_shard, options_for(*current, group, each));
                if (m_has_ended) {
                    home->end_channels();
                }
                return m_homes.emplace(upstream, std::move(home)).first->second.get();
            }
        }
    }
    return nullptr;
}

/// Returns whether placement assigns `key` to this instance. If this instance is
/// the first successor, adds the instance before it to `predecessors`.
bool home_directory::check_placement(const upstream_id& key, const data_centre& centre,
                                     std::vector<instance_view>& predecessors) const {
    const auto candidates = m_members.home_candidates(key, centre, reactor::now());
    const auto unsuspected_order = m_members.home_candidates_ignoring_suspicion(key, centre);
    if (unsuspected_order.size() > 1 && m_members.is_self(unsuspected_order[1].m_id)) {
        predecessors.push_back(unsuspected_order[0]);
    }
    return !candidates.empty() && m_members.is_self(candidates.front().m_id);
}

void home_directory::reconcile() {
    const auto current = m_knowledge.current();
    const bool changed = current->m_revision != m_adopted_revision;
    m_adopted_revision = current->m_revision;
    std::set<upstream_id> placed;
    std::set<group_name> coordinated_groups;
    std::vector<instance_view> predecessors;
    for (const group_spec& group : current->m_groups) {
        reconcile_coordinator(group, coordinated_groups, predecessors);
        for (const upstream_spec& each : group.m_upstreams) {
            if (shard_of(each.m_id, m_shard_count) != m_shard.index()) {
                continue;
            }
            const auto known = m_homes.find(each.m_id);
            if (known != m_homes.end() && changed) {
                known->second->adopt(options_for(*current, group, each));
            }
            if (check_placement(each.m_id, each.m_data_centre, predecessors)) {
                placed.insert(each.m_id);
                find_or_create(each.m_id)->set_is_home(true);
            }
        }
    }
    for (auto home = m_homes.begin(); home != m_homes.end();) {
        if (!placed.contains(home->first)) {
            home->second->set_is_home(false);
        }
        home = home->second->is_unused() ? m_homes.erase(home) : std::next(home);
    }
    std::erase_if(m_stewards, [&](const auto& each) { return !coordinated_groups.contains(each.first); });
    m_peer_watch.set_watched(predecessors);
}

void home_directory::reconcile_coordinator(const group_spec& group, std::set<group_name>& coordinated,
                                           std::vector<instance_view>& predecessors) {
    const upstream_id key = coordinator_key(group.m_name);
    if (shard_of(key, m_shard_count) != m_shard.index() || !check_placement(key, {}, predecessors)) {
        return;
    }
    coordinated.insert(group.m_name);
    const auto known = m_stewards.find(group.m_name);
    if (known == m_stewards.end()) {
        m_stewards.emplace(group.m_name, std::make_unique<group_steward>(m_shard, group));
    } else {
        known->second->adopt(group);
    }
}

void home_directory::end_channels() {
    m_has_ended = true;
    for (const auto& [id, home] : m_homes) {
        home->end_channels();
    }
}

group_steward* home_directory::find_steward(const group_name& group) {
    const auto known = m_stewards.find(group);
    return known == m_stewards.end() ? nullptr : known->second.get();
}

nlohmann::json home_directory::dump_stewards() const {
    nlohmann::json stewards = nlohmann::json::array();
    for (const auto& [name, steward] : m_stewards) {
        stewards.push_back(steward->dump());
    }
    return stewards;
}

std::size_t home_directory::open_channel_count() const {
    std::size_t sum = 0;
    for (const auto& [id, home] : m_homes) {
        sum += home->channel_count();
    }
    return sum;
}

nlohmann::json home_directory::dump() const {
    nlohmann::json homes = nlohmann::json::array();
    for (const auto& [id, home] : m_homes) {
        homes.push_back(home->dump());
    }
    return homes;
}

}
