/// \file grey_path.cpp
/// Passes one request at a time, so that a failed one is answered in its turn.
#include "grey_path.hpp"

#include <utility>

namespace review {

using namespace anvilmount;

result<void> grey_path::start() {
    BOOST_LEAF_ASSIGN(m_listener, tcp_listener::listen(m_loop, m_listen, [this](int fd) { accept(fd); }));
    return {};
}

void grey_path::accept(int fd) {
    const auto open = std::make_shared<link>();
    const std::weak_ptr<link> weak = open;
    const auto handlers = [this, weak](bool is_client) {
        return tcp_stream::handlers{.m_on_bytes =
                                        [this, weak, is_client](std::string_view bytes) {
                                            if (const auto known = weak.lock()) {
                                                is_client ? on_client_bytes(known, bytes)
                                                          : on_server_bytes(known, bytes);
                                            }
                                        },
                                    .m_on_closed =
                                        [this, weak](close_reason) {
                                            if (const auto known = weak.lock()) {
                                                m_loop.defer([this, known] { close(known); });
                                            }
                                        }};
    };
    open->m_client = tcp_stream::adopt(m_loop, fd, handlers(true));
    open->m_server = tcp_stream::connect(m_loop, m_target, handlers(false));
    m_links.insert(open);
}

void grey_path::close(const link_ptr& open) {
    open->m_client->close();
    open->m_server->close();
    m_links.erase(open);
}

void grey_path::on_client_bytes(const link_ptr& open, std::string_view bytes) {
    open->m_from_client.append(bytes);
    for (std::size_t end = open->m_from_client.find("\r\n"); end != std::string::npos;
         end = open->m_from_client.find("\r\n")) {
        open->m_requests.push_back(open->m_from_client.substr(0, end));
        open->m_from_client.erase(0, end + 2);
    }
    pass_on(open);
}

void grey_path::pass_on(const link_ptr& open) {
    while (!open->m_awaits_answer && !open->m_requests.empty()) {
        const std::string line = std::exchange(open->m_requests.front(), {});
        open->m_requests.pop_front();
        const bool is_check = !line.starts_with("QUERY ") || line.ends_with(" STATUS");
        if (!is_check && std::bernoulli_distribution(m_share)(m_random)) {
            m_on_failed(line);
            open->m_client->write("ERROR FAILED grey\r\n" + open->m_ready + "\r\n");
            continue;
        }
        open->m_awaits_answer = true;
        open->m_server->write(line + "\r\n");
    }
}

void grey_path::on_server_bytes(const link_ptr& open, std::string_view bytes) {
    open->m_from_server.append(bytes);
    for (std::size_t end = open->m_from_server.find("\r\n"); end != std::string::npos;
         end = open->m_from_server.find("\r\n")) {
        const std::string line = open->m_from_server.substr(0, end);
        open->m_from_server.erase(0, end + 2);
        open->m_client->write(line + "\r\n");
        if (line.starts_with("READY ")) {
            open->m_ready = line;
            open->m_awaits_answer = false;
        }
    }
    pass_on(open);
}

}
