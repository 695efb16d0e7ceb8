/// \file home_directory.hpp
/// The homes and stewards of one shard. Each upstream and each group belongs to
/// one shard of an instance; its home or steward there is made when placement
/// says so, a home also when a front asks. Whoever is next in line for either
/// watches the instance that has it now.
#pragma once

#include "group_knowledge.hpp"
#include "group_steward.hpp"
#include "membership.hpp"
#include "peer_watch.hpp"
#include "upstream_home.hpp"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace anvilmount {

/// Returns which of `shards` shards an upstream belongs to.
[[nodiscard]] std::size_t shard_of(const upstream_id& upstream, std::size_t shards);

class home_directory {
public:
    home_directory(shard& owner, std::size_t shards, const group_knowledge& knowledge, membership& members);

    /// Returns the upstream's home, made if need be; null when the
    /// configuration does not have the upstream.
    upstream_home* find_or_create(const upstream_id& upstream);

    /// Makes the homes that placement gives this instance, takes over changed
    /// settings, and drops those no longer needed.
    void reconcile();

    /// Channels that some front still uses.
    [[nodiscard]] std::size_t open_channel_count() const;

    /// The group's steward, if it is here; else null.
    group_steward* find_steward(const group_name& group);

    [[nodiscard]] nlohmann::json dump() const;
    [[nodiscard]] nlohmann::json dump_stewards() const;

private:
    [[nodiscard]] bool check_placement(const upstream_id& key, const data_centre& centre,
                                       std::vector<instance_view>& to_watch) const;
    void reconcile_coordinator(const group_spec& group, std::set<group_name>& placed,
                               std::vector<instance_view>& to_watch);
    void schedule();

    shard& m_shard;
    std::size_t m_shard_count;
    const group_knowledge& m_knowledge;
    membership& m_members;
    peer_watch m_peer_watch;
    std::uint64_t m_adopted_revision{0};
    std::map<upstream_id, std::unique_ptr<upstream_home>> m_homes;
    std::map<group_name, std::unique_ptr<group_steward>> m_stewards;
};

}
