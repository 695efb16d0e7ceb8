/// \file placement.hpp
/// Decides which instance is the home of an upstream: the one holder of its
/// connections and its queue. Rendezvous hashing lets every instance work it
/// out alone from the list of live instances, and moves only the homes of an
/// instance that comes or goes. Instances in the upstream's data centre go
/// before all others.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/base/identifiers.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmount {

enum class instance_state { live, suspected, leaving };

struct instance_view {
    instance_id m_id;
    endpoint m_peer_address;
    data_centre m_data_centre;
    instance_state m_state{instance_state::live};
};

/// Returns a hash of `text` that is the same in every build and instance.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text);

/// Returns the name under which a group's steward is placed: the instance that
/// watches the group and orders promotions.
[[nodiscard]] upstream_id coordinator_key(const group_name& group);

/// Returns all instances that may hold `upstream`, the home first, then those
/// that take over in turn. Live instances precede suspected and leaving ones.
[[nodiscard]] std::vector<instance_id> home_order(std::span<const instance_view> instances,
                                                  const upstream_id& upstream, const data_centre& centre);

}
