/// \file peer_watch.cpp
/// Pings each monitored instance over an HTTP/2 connection and reconnects when it has closed.
#include "peer_watch.hpp"

#include "anvilmount/observe/event_log.hpp"

namespace anvilmount {
namespace {

constexpr milliseconds ping_interval{300};
constexpr milliseconds suspicion_duration{2000};

}

peer_watch::peer_watch(shard& owner, membership& members) : m_shard(owner), m_members(members) {
    tick();
}

peer_watch::~peer_watch() {
    m_shard.loop().cancel(m_tick_timer);
}

void peer_watch::set_watched(const std::vector<instance_view>& instances) {
    std::map<endpoint, watched_peer> updated;
    for (const instance_view& each : instances) {
        const auto known = m_peers.find(each.m_peer_address);
        watched_peer target{.m_instance = each, .m_connection = nullptr};
        if (known != m_peers.end() && known->second.m_instance.m_id == each.m_id) {
            target.m_connection = known->second.m_connection;
        }
        updated.emplace(each.m_peer_address, std::move(target));
    }
    m_peers = std::move(updated);
}

void peer_watch::connect(watched_peer& target) {
    const instance_id id = target.m_instance.m_id;
    target.m_connection =
        http2_connection::connect(m_shard.loop(), target.m_instance.m_peer_address,
                                  {.m_on_request = {},
                                   .m_on_connected = [this, id] { m_members.clear_suspicion(id); },
                                   .m_on_closed = [this, id] { suspect(id); },
                                   .m_on_goaway = [this, id] { suspect(id); }});
}

void peer_watch::suspect(const instance_id& instance) {
    log_event(log_level::info, "peer.suspected", {{"instance", instance.m_text}});
    m_members.suspect(instance, reactor::now() + suspicion_duration);
}

void peer_watch::tick() {
    std::vector<std::shared_ptr<http2_connection>> silent;
    for (auto& [address, target] : m_peers) {
        if (!target.m_connection || !target.m_connection->is_open()) {
            connect(target);
        } else if (!target.m_connection->ping()) {
            silent.push_back(target.m_connection);
        }
    }
    for (const auto& connection : silent) {
        connection->close();
    }
    m_tick_timer = m_shard.loop().after(ping_interval, [this] { tick(); });
}

}
