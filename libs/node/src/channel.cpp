/// \file channel.cpp
/// Implements channels inside an instance by posting frames between shards, and channels
/// to other instances by length-prefixed frames on HTTP/2 streams.
#include "channel.hpp"

#include "anvilmount/observe/event_log.hpp"
#include "anvilmount/wire/frame_codec.hpp"

namespace anvilmount {
namespace {

constexpr milliseconds ping_interval{500};
/// An instance whose connection was lost is suspected for this long.
constexpr milliseconds lost_peer_suspicion{2000};

/// An instance that announces that it is leaving is suspected for this long. By then the
/// platform's list of instances shows it as leaving too, or the instance is back.
constexpr milliseconds leaving_peer_suspicion{10000};

/// The home's side of a channel inside one instance. Accessed only in the home's shard.
struct local_channel_state {
    upstream_home* m_home{nullptr};
    std::shared_ptr<home_channel> m_channel;
};

peer::home_frame end_frame_for(const failure& why) {
    peer::home_frame frame;
    frame.mutable_end()->set_code(number_of(why.m_code));
    frame.mutable_end()->set_message(why.m_message);
    return frame;
}

}

bool ends_channel(const peer::home_frame& frame) {
    return frame.has_end() || (frame.has_ready_for_next() && frame.ready_for_next().status() == "I");
}

void front_channel::abandon() {
    m_handlers = {};
    m_send = {};
    if (m_on_abandon) {
        const auto last = std::move(m_on_abandon);
        m_on_abandon = {};
        last();
    }
}

void front_channel::deliver(peer::home_frame&& frame) {
    if (ends_channel(frame)) {
        m_send = {};
        const auto last = std::move(m_on_abandon);
        m_on_abandon = {};
        if (!m_is_local && last) {
            last();
        }
    }
    if (m_handlers.m_on_frame) {
        const auto call = m_handlers.m_on_frame;
        call(std::move(frame));
    }
}

void front_channel::on_lost(bool may_have_run) {
    m_send = {};
    m_on_abandon = {};
    if (m_handlers.m_on_lost) {
        const auto call = std::move(m_handlers.m_on_lost);
        m_handlers = {};
        call(may_have_run);
    }
}

channel_opener::channel_opener(shard& owner, const shard_list& shards, const home_directories& homes,
                               membership& members)
    : m_shard(owner), m_shards(shards), m_homes(homes), m_members(members) {
    ping_connections();
}

std::shared_ptr<front_channel> channel_opener::open(const instance_view& target,
                                                    const peer::open_channel& request,
                                                    front_channel::handlers callbacks) {
    return m_members.is_self(target.m_id) ? open_local(request, std::move(callbacks))
                                          : open_remote(target, request, std::move(callbacks));
}

std::shared_ptr<front_channel> channel_opener::open_local(const peer::open_channel& request,
                                                          front_channel::handlers callbacks) {
    const auto channel = std::make_shared<front_channel>();
    channel->m_handlers = std::move(callbacks);
    const upstream_id upstream{request.upstream()};
    const std::size_t index = shard_of(upstream, m_shards.size());
    shard& home_shard = *m_shards[index];
    home_directory& directory = *m_homes[index];
    shard& front_shard = m_shard;
    const std::weak_ptr<front_channel> weak = channel;
    const auto to_front = [weak, &front_shard](peer::home_frame&& frame) {
        const auto shared_frame = std::make_shared<peer::home_frame>(std::move(frame));
        front_shard.post([weak, shared_frame] {
            if (const auto receiver = weak.lock()) {
                receiver->deliver(std::move(*shared_frame));
            }
        });
    };
    const auto state = std::make_shared<local_channel_state>();
    home_shard.post([state, upstream, request, to_front, &directory] {
        state->m_home = directory.find_or_create(upstream);
        if (state->m_home == nullptr) {
            to_front(end_frame_for(
                {.m_code = result_code::configuration_missing,
                 .m_message = "the home's configuration has no upstream " + upstream.m_text}));
            return;
        }
        state->m_channel = state->m_home->open(request, to_front);
    });
    channel->m_send = [state, &home_shard](peer::front_frame&& frame) {
        const auto shared_frame = std::make_shared<peer::front_frame>(std::move(frame));
        home_shard.post([state, shared_frame] {
            if (state->m_channel) {
                state->m_home->on_frame(state->m_channel, std::move(*shared_frame));
            }
        });
    };
    channel->m_on_abandon = [state, &home_shard] {
        home_shard.post([state] {
            if (state->m_channel) {
                state->m_home->on_front_gone(state->m_channel);
            }
        });
    };
    return channel;
}

std::shared_ptr<front_channel> channel_opener::open_remote(const instance_view& target,
                                                           const peer::open_channel& request,
                                                           front_channel::handlers callbacks) {
    const auto channel = std::make_shared<front_channel>();
    channel->m_is_local = false;
    channel->m_handlers = std::move(callbacks);
    peer_connection& remote = connection_to(target);
    const std::weak_ptr<front_channel> weak = channel;
    const auto input = std::make_shared<frame_buffer>();
    const auto stream = remote.m_connection->open_stream(
        {.m_method = "POST", .m_path = "/channel"},
        {.m_on_head = {},
         .m_on_data =
             [weak, input](std::string_view bytes) {
                 input->append(bytes);
                 peer::home_frame frame;
                 while (const auto receiver = weak.lock()) {
                     const auto has_frame = value_or_failure([&] { return input->next(frame); });
                     if (has_frame.index() != 0) {
                         receiver->on_lost(true);
                         return;
                     }
                     if (!std::get<0>(has_frame)) {
                         return;
                     }
                     receiver->deliver(std::move(frame));
                     frame.Clear();
                 }
             },
         .m_on_end = {},
         .m_on_closed =
             [weak, was_connected = remote.m_was_connected](stream_end how) {
                 if (const auto receiver = weak.lock()) {
                     receiver->on_lost(*was_connected && how != stream_end::refused);
                 }
             }});
    std::string opening_frame;
    peer::front_frame first;
    *first.mutable_open() = request;
    append_frame(opening_frame, first);
    stream->send(opening_frame);
    channel->m_send = [stream](peer::front_frame&& frame) {
        std::string bytes;
        append_frame(bytes, frame);
        stream->send(bytes);
    };
    channel->m_on_abandon = [stream] { stream->finish(); };
    return channel;
}

channel_opener::peer_connection& channel_opener::connection_to(const instance_view& target) {
    peer_connection& remote = m_connections[target.m_peer_address];
    if (remote.m_connection && remote.m_connection->is_open()) {
        return remote;
    }
    remote.m_instance = target.m_id;
    remote.m_was_connected = std::make_shared<bool>(false);
    const instance_id id = target.m_id;
    remote.m_connection = http2_connection::connect(
        m_shard.loop(), target.m_peer_address,
        {.m_on_request = {},
         .m_on_connected =
             [this, id, was_connected = remote.m_was_connected] {
                 *was_connected = true;
                 m_members.clear_suspicion(id);
             },
         .m_on_closed =
             [this, id] {
                 m_members.suspect(id, reactor::now() + lost_peer_suspicion);
                 log_event(log_level::warning, "peer.lost", {{"instance", id.m_text}});
             },
         .m_on_goaway = [this, id] { m_members.suspect(id, reactor::now() + leaving_peer_suspicion); }});
    return remote;
}

void channel_opener::ping_connections() {
    for (auto& [address, remote] : m_connections) {
        const bool in_use = remote.m_connection && remote.m_connection->is_open() &&
                            remote.m_connection->open_stream_count() > 0;
        if (in_use && !remote.m_connection->ping()) {
            remote.m_connection->close();
        }
    }
    m_shard.loop().after(ping_interval, [this] { ping_connections(); });
}

nlohmann::json channel_opener::dump() const {
    nlohmann::json connections = nlohmann::json::array();
    for (const auto& [address, remote] : m_connections) {
        connections.push_back(
            {{"instance", remote.m_instance.m_text},
             {"address", to_string(address)},
             {"open", remote.m_connection && remote.m_connection->is_open()},
             {"channels", remote.m_connection ? remote.m_connection->open_stream_count() : 0}});
    }
    return connections;
}

}
