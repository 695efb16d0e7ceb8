/// \file channel.cpp
#include "channel.hpp"

#include "anvilmount/observe/event_log.hpp"
#include "anvilmount/wire/frame_codec.hpp"

namespace anvilmount {
namespace {

constexpr milliseconds ping_pace{500};
constexpr milliseconds suspicion_time{2000};

/// An instance that says it leaves is out of every line for this long; by then
/// the platform's list says so too, or the instance is back.
constexpr milliseconds leaving_time{10000};

/// State of a channel inside one instance; the home's part is only touched in
/// the home's shard.
struct local_link {
    upstream_home* m_home{nullptr};
    std::shared_ptr<home_channel> m_channel;
};

peer::home_frame refusal(const failure& why) {
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
    if (m_abandon) {
        const auto last = std::move(m_abandon);
        m_abandon = {};
        last();
    }
}

void front_channel::deliver(peer::home_frame&& frame) {
    if (ends_channel(frame)) {
        m_send = {};
        const auto last = std::move(m_abandon);
        m_abandon = {};
        if (!m_local && last) {
            last();
        }
    }
    if (m_handlers.m_on_frame) {
        const auto call = m_handlers.m_on_frame;
        call(std::move(frame));
    }
}

void front_channel::lose(bool may_have_run) {
    m_send = {};
    m_abandon = {};
    if (m_handlers.m_on_lost) {
        const auto call = std::move(m_handlers.m_on_lost);
        m_handlers = {};
        call(may_have_run);
    }
}

channel_opener::channel_opener(shard& owner, const shard_list& shards, const home_directories& homes,
                               membership& members)
    : m_shard(owner), m_shards(shards), m_homes(homes), m_members(members) {
    check_links();
}

std::shared_ptr<front_channel> channel_opener::open(const instance_view& target,
                                                    const peer::open_channel& request,
                                                    front_channel::handlers callbacks) {
    return m_members.is_self(target.m_id) ? open_here(request, std::move(callbacks))
                                          : open_at_peer(target, request, std::move(callbacks));
}

std::shared_ptr<front_channel> channel_opener::open_here(const peer::open_channel& request,
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
        const auto carried = std::make_shared<peer::home_frame>(std::move(frame));
        front_shard.post([weak, carried] {
            if (const auto open = weak.lock()) {
                open->deliver(std::move(*carried));
            }
        });
    };
    const auto link = std::make_shared<local_link>();
    home_shard.post([link, upstream, request, to_front, &directory] {
        link->m_home = directory.find_or_create(upstream);
        if (link->m_home == nullptr) {
            to_front(refusal({.m_code = result_code::configuration_missing,
                              .m_message = "the home's configuration has no upstream " + upstream.m_text}));
            return;
        }
        link->m_channel = link->m_home->open(request, to_front);
    });
    channel->m_send = [link, &home_shard](peer::front_frame&& frame) {
        const auto carried = std::make_shared<peer::front_frame>(std::move(frame));
        home_shard.post([link, carried] {
            if (link->m_channel) {
                link->m_home->on_frame(link->m_channel, std::move(*carried));
            }
        });
    };
    channel->m_abandon = [link, &home_shard] {
        home_shard.post([link] {
            if (link->m_channel) {
                link->m_home->on_front_gone(link->m_channel);
            }
        });
    };
    return channel;
}

std::shared_ptr<front_channel> channel_opener::open_at_peer(const instance_view& target,
                                                            const peer::open_channel& request,
                                                            front_channel::handlers callbacks) {
    const auto channel = std::make_shared<front_channel>();
    channel->m_local = false;
    channel->m_handlers = std::move(callbacks);
    peer_link& link = link_to(target);
    const std::weak_ptr<front_channel> weak = channel;
    const auto input = std::make_shared<frame_buffer>();
    const auto stream =
        link.m_connection->open({.m_method = "POST", .m_path = "/channel"},
                                {.m_on_head = {},
                                 .m_on_data =
                                     [weak, input](std::string_view bytes) {
                                         input->append(bytes);
                                         peer::home_frame frame;
                                         while (const auto open = weak.lock()) {
                                             const auto got =
                                                 value_or_failure([&] { return input->next(frame); });
                                             if (got.index() != 0) {
                                                 open->lose(true);
                                                 return;
                                             }
                                             if (!std::get<0>(got)) {
                                                 return;
                                             }
                                             open->deliver(std::move(frame));
                                             frame.Clear();
                                         }
                                     },
                                 .m_on_end = {},
                                 .m_on_closed =
                                     [weak, was_connected = link.m_was_connected](stream_end how) {
                                         if (const auto open = weak.lock()) {
                                             open->lose(*was_connected && how != stream_end::refused);
                                         }
                                     }});
    std::string hello;
    peer::front_frame first;
    *first.mutable_open() = request;
    append_frame(hello, first);
    stream->send(hello);
    channel->m_send = [stream](peer::front_frame&& frame) {
        std::string bytes;
        append_frame(bytes, frame);
        stream->send(bytes);
    };
    channel->m_abandon = [stream] { stream->finish(); };
    return channel;
}

channel_opener::peer_link& channel_opener::link_to(const instance_view& target) {
    peer_link& link = m_links[target.m_peer_address];
    if (link.m_connection && link.m_connection->is_open()) {
        return link;
    }
    link.m_instance = target.m_id;
    link.m_was_connected = std::make_shared<bool>(false);
    const instance_id id = target.m_id;
    link.m_connection = http2_connection::connect(
        m_shard.loop(), target.m_peer_address,
        {.m_on_request = {},
         .m_on_connected =
             [this, id, was_connected = link.m_was_connected] {
                 *was_connected = true;
                 m_members.clear_suspicion(id);
             },
         .m_on_closed =
             [this, id] {
                 m_members.suspect(id, reactor::now() + suspicion_time);
                 log_event(log_level::warning, "peer.lost", {{"instance", id.m_text}});
             },
         .m_on_going_away = [this, id] { m_members.suspect(id, reactor::now() + leaving_time); }});
    return link;
}

void channel_opener::check_links() {
    for (auto& [address, link] : m_links) {
        const bool in_use =
            link.m_connection && link.m_connection->is_open() && link.m_connection->open_streams() > 0;
        if (in_use && !link.m_connection->ping()) {
            link.m_connection->close();
        }
    }
    m_shard.loop().after(ping_pace, [this] { check_links(); });
}

nlohmann::json channel_opener::dump() const {
    nlohmann::json links = nlohmann::json::array();
    for (const auto& [address, link] : m_links) {
        links.push_back({{"instance", link.m_instance.m_text},
                         {"address", to_string(address)},
                         {"open", link.m_connection && link.m_connection->is_open()},
                         {"channels", link.m_connection ? link.m_connection->open_streams() : 0}});
    }
    return links;
}

}
