/// \file peer_watch.hpp
/// Monitors the instances whose homes or coordinators this instance would take
/// over. An instance is suspected when its connection breaks or a ping is not
/// answered, so that its homes and coordinators move at once; the platform's list
/// may report the failure much later.
#pragma once

#include "membership.hpp"
#include "shard.hpp"

#include "anvilmount/wire/http2_connection.hpp"

#include <map>
#include <memory>
#include <vector>

namespace anvilmount {

class peer_watch {
public:
    peer_watch(shard& owner, membership& members);
    ~peer_watch();
    peer_watch(const peer_watch&) = delete;
    peer_watch& operator=(const peer_watch&) = delete;

    /// Replaces the set of monitored instances. Connections to those that remain are kept.
    void set_watched(const std::vector<instance_view>& instances);

private:
    struct watched_peer {
        instance_view m_instance;
        std::shared_ptr<http2_connection> m_connection;
    };

    void tick();
    void connect(watched_peer& target);
    void suspect(const instance_id& instance);

    shard& m_shard;
    membership& m_members;
    std::map<endpoint, watched_peer> m_peers;
    reactor::timer_id m_tick_timer{};
};

}
