/// \file placement.hpp
/// Decides which instance is the home of an upstream: the only instance that owns
/// connections to the upstream and its queue. Rendezvous hashing lets every
/// instance compute the same home from the list of live instances, and moves only
/// the homes of an instance that joins or leaves. Instances in the upstream's data
/// centre take precedence.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/base/identifiers.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmount {

/// A leaving instance is being drained.
enum class instance_state { live, suspected, leaving };

/// One instance as placement sees it.
struct instance_view {
    instance_id m_id;
    endpoint m_peer_address;
    data_centre m_data_centre;
    instance_state m_state{instance_state::live};
};

/// Returns a hash of `text` that is the same in every build and on every instance.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text);

/// Returns the key under which a group's coordinator is placed: the instance that
/// monitors the group and orders promotions. The hashed text calls it "steward".
[[nodiscard]] upstream_id coordinator_key(const group_name& group);

/// Returns all instances that may be the home of `upstream`: the current home
/// first, then its successors in order. Live instances precede suspected ones, and
/// suspected ones precede leaving ones.
[[nodiscard]] std::vector<instance_id> home_order(std::span<const instance_view> instances,
                                                  const upstream_id& upstream, const data_centre& centre);

}
