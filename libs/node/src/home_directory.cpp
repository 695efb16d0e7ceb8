/// \file home_directory.cpp
#include "home_directory.hpp"

namespace anvilmount {
namespace {

constexpr milliseconds reconcile_pace{200};

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
    schedule();
}

void home_directory::schedule() {
    m_shard.loop().after(reconcile_pace, [this] {
        reconcile();
        schedule();
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
                return m_homes.emplace(upstream, std::move(home)).first->second.get();
            }
        }
    }
    return nullptr;
}

/// Also notes whom to watch: the one before this instance in line.
bool home_directory::check_placement(const upstream_id& key, const data_centre& centre,
                                     std::vector<instance_view>& to_watch) const {
    const auto order = m_members.home_candidates(key, centre, reactor::now());
    const auto line = m_members.home_candidates_ignoring_suspicion(key, centre);
    if (line.size() > 1 && m_members.is_self(line[1].m_id)) {
        to_watch.push_back(line[0]);
    }
    return !order.empty() && m_members.is_self(order.front().m_id);
}

void home_directory::reconcile() {
    const auto current = m_knowledge.current();
    const bool changed = current->m_revision != m_adopted_revision;
    m_adopted_revision = current->m_revision;
    std::set<upstream_id> placed;
    std::set<group_name> stewarded;
    std::vector<instance_view> to_watch;
    for (const group_spec& group : current->m_groups) {
        reconcile_coordinator(group, stewarded, to_watch);
        for (const upstream_spec& each : group.m_upstreams) {
            if (shard_of(each.m_id, m_shard_count) != m_shard.index()) {
                continue;
            }
            const auto known = m_homes.find(each.m_id);
            if (known != m_homes.end() && changed) {
                known->second->adopt(options_for(*current, group, each));
            }
            if (check_placement(each.m_id, each.m_data_centre, to_watch)) {
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
    std::erase_if(m_stewards, [&](const auto& each) { return !stewarded.contains(each.first); });
    m_peer_watch.set_watched(to_watch);
}

void home_directory::reconcile_coordinator(const group_spec& group, std::set<group_name>& placed,
                                           std::vector<instance_view>& to_watch) {
    const upstream_id key = coordinator_key(group.m_name);
    if (shard_of(key, m_shard_count) != m_shard.index() || !check_placement(key, {}, to_watch)) {
        return;
    }
    placed.insert(group.m_name);
    const auto known = m_stewards.find(group.m_name);
    if (known == m_stewards.end()) {
        m_stewards.emplace(group.m_name, std::make_unique<group_steward>(m_shard, group));
    } else {
        known->second->adopt(group);
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
        sum += home->channels();
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
