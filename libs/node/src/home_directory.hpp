/// \file home_directory.hpp
/// The homes and group coordinators of one shard. Within an instance, each
/// upstream and each group maps to one shard. The shard creates a home or a
/// coordinator when placement assigns it to this instance, and a home also when a
/// front opens a channel to it. The instance that is next in placement order
/// monitors the one that owns the home or coordinator now.
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

/// Returns the index of the shard that an upstream maps to, out of `shards` shards.
[[nodiscard]] std::size_t shard_of(const upstream_id& upstream, std::size_t shards);

class home_directory {
public:
    home_directory(shard& owner, std::size_t shards, const group_knowledge& knowledge, membership& members);

    /// Returns the upstream's home and creates it if necessary. Returns null when
    /// the configuration does not have the upstream.
    upstream_home* find_or_create(const upstream_id& upstream);

    /// Creates the homes and coordinators that placement assigns to this instance,
    /// applies changed settings, and removes those no longer needed.
    void reconcile();

    /// Returns the number of channels that fronts still use.
    [[nodiscard]] std::size_t open_channel_count() const;

    /// Ends all channels, and those that are opened from now on: the time for leaving is over.
    void end_channels();

    /// Returns the group's coordinator, or null when it is not on this shard.
    group_steward* find_steward(const group_name& group);

    [[nodiscard]] nlohmann::json dump() const;
    [[nodiscard]] nlohmann::json dump_stewards() const;

private:
    [[nodiscard]] bool check_placement(const upstream_id& key, const data_centre& centre,
                                       std::vector<instance_view>& predecessors) const;
    void reconcile_coordinator(const group_spec& group, std::set<group_name>& coordinated,
                               std::vector<instance_view>& predecessors);
    void schedule_reconcile();

    shard& m_shard;
    std::size_t m_shard_count;
    const group_knowledge& m_knowledge;
    membership& m_members;
    peer_watch m_peer_watch;
    std::uint64_t m_adopted_revision{0};
    bool m_has_ended{false};
    std::map<upstream_id, std::unique_ptr<upstream_home>> m_homes;
    std::map<group_name, std::unique_ptr<group_steward>> m_stewards;
};

}
