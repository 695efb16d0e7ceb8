/// \file peer_watch.hpp
/// Watches the few instances that this one is next in line for. A connection
/// that breaks, or a ping that is not answered, makes the instance suspected,
/// so that its homes and stewards move at once; the platform's list may take
/// long to say the same.
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

    /// Watches exactly these from now on.
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
