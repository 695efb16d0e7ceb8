/// \file peer_server.cpp
/// Dispatches requests by path and connects channel streams to homes.
#include "peer_server.hpp"

#include "anvilmount/wire/frame_codec.hpp"
#include "anvilmount/wire/http2_exchange.hpp"

namespace anvilmount {
namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;

/// A channel that another instance has opened to a home of this one.
struct served_channel {
    frame_buffer m_input;
    std::shared_ptr<front_channel> m_channel; ///< Set by the first frame.
};

}

result<void> peer_server::listen(const endpoint& address) {
    BOOST_LEAF_ASSIGN(m_server, http2_server::listen(m_shard.loop(), address,
                                                     [this](const auto& stream) { serve(stream); }));
    return {};
}

void peer_server::serve(const std::shared_ptr<http2_stream>& stream) {
    if (stream->head().m_path == "/channel") {
        serve_channel(stream);
        return;
    }
    serve_request(stream, [this](const http2_request& request, const response_sender& respond) {
        if (request.m_path == "/revision") {
            respond({.m_status = status_ok, .m_body = std::to_string(m_knowledge.current()->m_revision)});
            return;
        }
        if (request.m_path == "/switch") {
            const auto parsed_switch =
                value_or_failure([&] { return parse_switch_request(request.m_body); });
            if (const auto* error = std::get_if<failure>(&parsed_switch)) {
                respond(operator_response(*error));
                return;
            }
            m_on_switch(std::get<switch_request>(parsed_switch),
                        [respond](const std::optional<failure>& why) { respond(operator_response(why)); });
            return;
        }
        peer::cancel_request cancel;
        if (request.m_path != "/cancel" || !cancel.ParseFromString(request.m_body)) {
            respond({.m_status = status_not_found, .m_body = {}});
            return;
        }
        m_cancel_registry.cancel({.m_process_id = cancel.process(), .m_secret = cancel.secret()});
        respond({.m_status = status_ok, .m_body = {}});
    });
}

void peer_server::serve_channel(const std::shared_ptr<http2_stream>& stream) {
    const auto served = std::make_shared<served_channel>();
    const std::weak_ptr<http2_stream> weak = stream;
    const auto abandon = [served] {
        if (served->m_channel) {
            served->m_channel->abandon();
            served->m_channel.reset();
        }
    };
    const front_channel::handlers peer_handlers{.m_on_frame =
                                                    [weak](peer::home_frame&& frame) {
                                                        const auto open = weak.lock();
                                                        if (!open) {
                                                            return;
                                                        }
                                                        std::string bytes;
                                                        append_frame(bytes, frame);
                                                        open->send(bytes);
                                                        if (ends_channel(frame)) {
                                                            open->finish();
                                                        }
                                                    },
                                                .m_on_lost = {}};
    const auto on_frame = [this, served, peer_handlers](peer::front_frame&& frame) {
        if (frame.has_open() && !served->m_channel) {
            served->m_channel = m_channel_opener.open_local(frame.open(), peer_handlers);
        } else if (served->m_channel) {
            served->m_channel->send(std::move(frame));
        }
    };
    stream->respond(status_ok);
    stream->set_handlers({.m_on_head = {},
                          .m_on_data =
                              [served, on_frame, weak](std::string_view bytes) {
                                  served->m_input.append(bytes);
                                  while (true) {
                                      peer::front_frame frame;
                                      const auto decoded =
                                          value_or_failure([&] { return served->m_input.next(frame); });
                                      if (decoded.index() != 0) {
                                          if (const auto open = weak.lock()) {
                                              open->reset();
                                          }
                                          return;
                                      }
                                      if (!std::get<0>(decoded)) {
                                          return;
                                      }
                                      on_frame(std::move(frame));
                                  }
                              },
                          .m_on_end =
                              [abandon, weak] {
                                  abandon();
                                  // The stream is kept until both directions have ended.
                                  if (const auto open = weak.lock()) {
                                      open->finish();
                                  }
                              },
                          .m_on_closed = [abandon](stream_end) { abandon(); }});
}

}
