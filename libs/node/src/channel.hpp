/// \file channel.hpp
/// The front's end of a channel to a home, in this instance or another one. Within an
/// instance frames are passed between shards without encoding; to another instance they
/// are sent on an HTTP/2 stream. In both cases frames arrive in order, and the loss of a
/// channel is reported once.
#pragma once

#include "home_directory.hpp"

#include "anvilmount/wire/http2_connection.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace anvilmount {

/// True when the home sends nothing after `frame`.
[[nodiscard]] bool ends_channel(const peer::home_frame& frame);

/// Created by channel_opener. Used in the shard that opened it.
class front_channel {
public:
    struct handlers {
        std::function<void(peer::home_frame&&)> m_on_frame{};
        /// The connection to the home broke. When `may_have_run` is false the home cannot
        /// have received anything.
        std::function<void(bool may_have_run)> m_on_lost{};
    };

    void send(peer::front_frame&& frame) {
        if (m_send) {
            m_send(std::move(frame));
        }
    }

    /// Tells the home that the channel is not needed any more. No handler is called after this.
    void abandon();

    [[nodiscard]] bool is_local() const { return m_is_local; }

private:
    friend class channel_opener;

    void deliver(peer::home_frame&& frame);
    void on_lost(bool may_have_run);

    handlers m_handlers;
    std::function<void(peer::front_frame&&)> m_send;
    std::function<void()> m_on_abandon;
    bool m_is_local{true};
};

/// The home directory of each shard; indexed like shard_list.
using home_directories = std::vector<std::unique_ptr<home_directory>>;
using shard_list = std::vector<std::unique_ptr<shard>>;

/// Opens channels for one shard and keeps that shard's connections to other instances.
class channel_opener {
public:
    channel_opener(shard& owner, const shard_list& shards, const home_directories& homes,
                   membership& members);

    /// Opens a channel at `target`, the instance believed to be the home.
    std::shared_ptr<front_channel> open(const instance_view& target, const peer::open_channel& request,
                                        front_channel::handlers callbacks);

    /// Opens a channel to a home in this instance.
    std::shared_ptr<front_channel> open_local(const peer::open_channel& request,
                                              front_channel::handlers callbacks);

    [[nodiscard]] nlohmann::json dump() const;

private:
    /// A shared connection to another instance; each channel is one stream on it.
    struct peer_connection {
        std::shared_ptr<http2_connection> m_connection;
        instance_id m_instance;
        std::shared_ptr<bool> m_was_connected; ///< While false nothing can have reached the peer.
    };

    std::shared_ptr<front_channel> open_remote(const instance_view& target,
                                               const peer::open_channel& request,
                                               front_channel::handlers callbacks);
    peer_connection& connection_to(const instance_view& target);
    void ping_connections();

    shard& m_shard;
    const shard_list& m_shards;
    const home_directories& m_homes;
    membership& m_members;
    std::map<endpoint, peer_connection> m_connections;
};

}
