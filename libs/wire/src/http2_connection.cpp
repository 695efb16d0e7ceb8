/// \file http2_connection.cpp
/// Connects nghttp2 to a tcp_stream: received bytes go to nghttp2, whose callbacks find the stream and call
/// its handlers; output is collected and written once per round of the event loop.
#include "anvilmount/wire/http2_connection.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <utility>

namespace anvilmount {
namespace {

constexpr std::int32_t stream_window = 4 * 1024 * 1024;
constexpr std::int32_t connection_window = 256 * 1024 * 1024;
constexpr std::uint32_t max_concurrent_streams = 100000;
/// Output beyond this stays in nghttp2 until the TCP stream has drained.
constexpr std::size_t max_unsent_bytes = std::size_t{1024} * 1024;
/// Place of the type in a frame, after the 3 bytes of its length.
constexpr ssize_t frame_type_offset = 3;

nghttp2_nv header(std::string_view name, std::string_view value) {
    return {.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
            .value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
            .namelen = name.size(),
            .valuelen = value.size(),
            .flags = NGHTTP2_NV_FLAG_NONE};
}

}

/// Callbacks for nghttp2; `user` is the connection.
struct http2_callbacks {
    static http2_connection& self(void* user) { return *static_cast<http2_connection*>(user); }

    static std::shared_ptr<http2_stream> find_stream(void* user, std::int32_t id) {
        const auto found = self(user).m_streams.find(id);
        return found == self(user).m_streams.end() ? nullptr : found->second;
    }

    static int on_begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            auto stream = std::make_shared<http2_stream>();
            stream->m_connection = self(user).weak_from_this();
            stream->m_id = frame->hd.stream_id;
            self(user).m_streams.emplace(frame->hd.stream_id, std::move(stream));
        }
        return 0;
    }

    static int on_header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                         std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
                         std::uint8_t, void* user) {
        const auto stream = find_stream(user, frame->hd.stream_id);
        if (!stream) {
            return 0;
        }
        const std::string_view key(reinterpret_cast<const char*>(name), name_size);
        const std::string_view text(reinterpret_cast<const char*>(value), value_size);
        if (key == ":path") {
            stream->m_head.m_path = text;
        } else if (key == ":method") {
            stream->m_head.m_method = text;
        } else if (key == ":status") {
            std::from_chars(text.data(), text.data() + text.size(), stream->m_head.m_status);
        }
        return 0;
    }

    static int on_frame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
            self(user).m_ping_unanswered = false;
        }
        if (frame->hd.type == NGHTTP2_GOAWAY) {
            self(user).m_goaway_received = true;
            if (self(user).m_handlers.m_on_goaway) {
                self(user).m_handlers.m_on_goaway();
            }
        }
        const auto stream = find_stream(user, frame->hd.stream_id);
        if (!stream) {
            return 0;
        }
        if (frame->hd.type == NGHTTP2_HEADERS) {
            if (frame->headers.cat == NGHTTP2_HCAT_REQUEST && self(user).m_handlers.m_on_request) {
                self(user).m_handlers.m_on_request(stream);
            }
            if (stream->m_handlers.m_on_head) {
                stream->m_handlers.m_on_head(stream->m_head);
            }
        }
        const bool carries_end = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (carries_end && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 &&
            stream->m_handlers.m_on_end) {
            stream->m_handlers.m_on_end();
        }
        return 0;
    }

    static int on_data(nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* data,
                       std::size_t size, void* user) {
        const auto stream = find_stream(user, id);
        if (stream && stream->m_handlers.m_on_data) {
            stream->m_handlers.m_on_data({reinterpret_cast<const char*>(data), size});
        }
        return 0;
    }

    static int on_frame_sent(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        if (frame->hd.type == NGHTTP2_HEADERS) {
            self(user).m_last_sent_stream = std::max(self(user).m_last_sent_stream, frame->hd.stream_id);
        }
        return 0;
    }

    static int on_stream_close(nghttp2_session*, std::int32_t id, std::uint32_t error, void* user) {
        const auto stream = find_stream(user, id);
        if (!stream) {
            return 0;
        }
        self(user).m_streams.erase(id);
        stream->m_open = false;
        if (stream->m_handlers.m_on_closed) {
            stream->m_handlers.m_on_closed(error == NGHTTP2_NO_ERROR         ? stream_end::clean
                                           : error == NGHTTP2_REFUSED_STREAM ? stream_end::refused
                                                                             : stream_end::broken);
        }
        return 0;
    }

    static ssize_t read_output(nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t length,
                               std::uint32_t* flags, nghttp2_data_source* source, void*) {
        auto* stream = static_cast<http2_stream*>(source->ptr);
        const std::size_t part = std::min(length, stream->unsent_bytes());
        std::memcpy(buffer, stream->m_output.data() + stream->m_output_sent, part);
        stream->m_output_sent += part;
        if (stream->unsent_bytes() == 0) {
            stream->m_output.clear();
            stream->m_output_sent = 0;
            if (stream->m_finished) {
                *flags |= NGHTTP2_DATA_FLAG_EOF;
            } else if (part == 0) {
                stream->m_output_deferred = true;
                return NGHTTP2_ERR_DEFERRED;
            }
        }
        return static_cast<ssize_t>(part);
    }

    static nghttp2_session_callbacks* create() {
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, on_begin_headers);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, on_data);
        nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, on_frame_sent);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, on_stream_close);
        return callbacks;
    }

    static nghttp2_data_provider data_provider(http2_stream* stream) {
        nghttp2_data_provider data{};
        data.source.ptr = stream;
        data.read_callback = read_output;
        return data;
    }
};

void http2_stream::respond(int status) {
    const auto connection = m_connection.lock();
    if (!connection || !m_open) {
        return;
    }
    const std::string text = std::to_string(status);
    const std::array headers{header(":status", text)};
    const nghttp2_data_provider data = http2_callbacks::data_provider(this);
    nghttp2_submit_response(connection->m_session, m_id, headers.data(), headers.size(), &data);
    connection->schedule_flush();
}

void http2_stream::send(std::string_view bytes) {
    const auto connection = m_connection.lock();
    if (!connection || !m_open || m_finished) {
        return;
    }
    m_output.append(bytes);
    if (m_output_deferred) {
        m_output_deferred = false;
        nghttp2_session_resume_data(connection->m_session, m_id);
    }
    connection->schedule_flush();
}

void http2_stream::finish() {
    const auto connection = m_connection.lock();
    if (!connection || !m_open || m_finished) {
        return;
    }
    m_finished = true;
    if (m_output_deferred) {
        m_output_deferred = false;
        nghttp2_session_resume_data(connection->m_session, m_id);
    }
    connection->schedule_flush();
}

void http2_stream::reset() {
    const auto connection = m_connection.lock();
    if (!connection || !m_open) {
        return;
    }
    nghttp2_submit_rst_stream(connection->m_session, NGHTTP2_FLAG_NONE, m_id, NGHTTP2_CANCEL);
    connection->schedule_flush();
}

http2_connection::http2_connection(reactor& loop, handlers callbacks)
    : m_reactor(loop), m_handlers(std::move(callbacks)) {}

http2_connection::~http2_connection() {
    if (m_session != nullptr) {
        nghttp2_session_del(m_session);
    }
}

tcp_stream::handlers http2_connection::stream_handlers() {
    const std::weak_ptr<http2_connection> weak = weak_from_this();
    return {.m_on_connected = {},
            .m_on_bytes =
                [weak](std::string_view bytes) {
                    if (const auto self = weak.lock()) {
                        self->on_bytes(bytes);
                    }
                },
            .m_on_drained =
                [weak] {
                    if (const auto self = weak.lock()) {
                        self->schedule_flush();
                    }
                },
            .m_on_closed =
                [weak](close_reason) {
                    if (const auto self = weak.lock()) {
                        self->fail_streams();
                    }
                }};
}

std::shared_ptr<http2_connection> http2_connection::connect(reactor& loop, const endpoint& where,
                                                            handlers callbacks) {
    std::shared_ptr<http2_connection> connection(new http2_connection(loop, std::move(callbacks)));
    auto stream = tcp_stream::connect(loop, where, connection->stream_handlers());
    stream->enable_keepalive();
    connection->start(std::move(stream), false);
    return connection;
}

std::shared_ptr<http2_connection> http2_connection::accept(reactor& loop, int fd, handlers callbacks) {
    std::shared_ptr<http2_connection> connection(new http2_connection(loop, std::move(callbacks)));
    connection->start(tcp_stream::adopt(loop, fd, connection->stream_handlers()), true);
    return connection;
}

void http2_connection::start(std::shared_ptr<tcp_stream> stream, bool server) {
    m_stream = std::move(stream);
    m_can_send = server;
    nghttp2_session_callbacks* callbacks = http2_callbacks::create();
    if (server) {
        nghttp2_session_server_new(&m_session, callbacks, this);
    } else {
        nghttp2_session_client_new(&m_session, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    const std::array settings{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                               static_cast<std::uint32_t>(stream_window)},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_concurrent_streams}};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, connection_window);
    schedule_flush();
}

std::shared_ptr<http2_stream> http2_connection::open_stream(const http2_head& head,
                                                            http2_stream::handlers callbacks) {
    auto stream = std::make_shared<http2_stream>();
    stream->m_connection = weak_from_this();
    stream->m_handlers = std::move(callbacks);
    if (m_goaway_received || !is_open()) {
        const stream_end outcome = m_goaway_received ? stream_end::refused : stream_end::broken;
        stream->m_open = false;
        m_reactor.defer([stream, outcome] {
            if (stream->m_handlers.m_on_closed) {
                stream->m_handlers.m_on_closed(outcome);
            }
        });
        return stream;
    }
    const std::array headers{header(":method", head.m_method), header(":scheme", "http"),
                             header(":authority", "anvilmount"), header(":path", head.m_path)};
    const nghttp2_data_provider data = http2_callbacks::data_provider(stream.get());
    stream->m_id =
        nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &data, nullptr);
    internal_check(stream->m_id > 0, "the connection has stream identifiers left");
    m_streams.emplace(stream->m_id, stream);
    schedule_flush();
    return stream;
}

void http2_connection::on_bytes(std::string_view bytes) {
    if (!std::exchange(m_can_send, true) && m_handlers.m_on_connected) {
        m_handlers.m_on_connected();
    }
    const ssize_t used = nghttp2_session_mem_recv(
        m_session, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (used < 0) {
        close();
        return;
    }
    schedule_flush();
}

void http2_connection::schedule_flush() {
    if (m_flush_pending) {
        return;
    }
    m_flush_pending = true;
    m_reactor.defer([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->flush();
        }
    });
}

void http2_connection::flush() {
    m_flush_pending = false;
    if (!is_open() || !m_can_send) {
        return;
    }
    if (!m_streams.empty() && is_unsent(m_streams.rbegin()->first)) {
        // What is sent on a connection that has ended would not be known to have had an effect or not.
        m_stream->read_arrived();
        if (!is_open()) {
            return;
        }
    }
    std::string batch;
    while (m_stream->unsent_bytes() + batch.size() < max_unsent_bytes) {
        const std::uint8_t* data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(m_session, &data);
        if (size <= 0) {
            break;
        }
        batch.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
    }
    m_stream->write(batch);
    // After sending GOAWAY, a server leaves the closing to the client: if it closed while data from the
    // client is still in transit, the kernel would reset the connection and discard the last responses.
    const bool finished =
        nghttp2_session_want_read(m_session) == 0 && nghttp2_session_want_write(m_session) == 0;
    if (finished && !m_goaway_sent) {
        close();
    }
}

bool http2_connection::ping() {
    if (m_ping_unanswered) {
        return false;
    }
    m_ping_unanswered = true;
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    schedule_flush();
    return true;
}

void http2_connection::send_goaway() {
    if (!is_open()) {
        return;
    }
    nghttp2_submit_goaway(m_session, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(m_session),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    m_goaway_sent = true;
    // Taken out at once, even if much is unsent: until nghttp2 has packed the frame it accepts streams, and
    // one beyond the last stream identifier in the frame would be served although the client is told that
    // it is refused. Control frames come before data, so that little else is taken out.
    std::string frames;
    bool packed = false;
    while (!packed) {
        const std::uint8_t* data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(m_session, &data);
        if (size <= 0) {
            break;
        }
        frames.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
        packed = size > frame_type_offset && data[frame_type_offset] == NGHTTP2_GOAWAY;
    }
    m_stream->write(frames);
    schedule_flush();
}

void http2_connection::close() {
    if (!is_open()) {
        return;
    }
    m_stream->close();
    fail_streams();
}

bool http2_connection::is_unsent(std::int32_t id) const {
    return nghttp2_session_check_server_session(m_session) == 0 && id > m_last_sent_stream;
}

void http2_connection::fail_streams() {
    const auto keep = shared_from_this();
    const auto streams = std::move(m_streams);
    m_streams.clear();
    for (const auto& [id, stream] : streams) {
        stream->m_open = false;
        if (stream->m_handlers.m_on_closed) {
            stream->m_handlers.m_on_closed(is_unsent(id) ? stream_end::refused : stream_end::broken);
        }
    }
    if (m_handlers.m_on_closed) {
        m_handlers.m_on_closed();
    }
}

}
