/// \file grey_path.hpp
/// Stands before an upstream that fails a share of its requests while its status check is good: it answers
/// these itself with ERROR FAILED, in their turn, and passes all others on.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/wire/reactor.hpp"
#include "anvilmount/wire/tcp_listener.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace review {

class grey_path {
public:
    /// Is told of each request that is failed.
    using failure_observer = std::function<void(const std::string& line)>;

    grey_path(anvilmount::reactor& loop, anvilmount::endpoint listen, anvilmount::endpoint target,
              failure_observer on_failed)
        : m_loop(loop), m_listen(std::move(listen)), m_target(std::move(target)),
          m_on_failed(std::move(on_failed)) {}

    [[nodiscard]] anvilmount::result<void> start();

    /// Fails this share of the requests, but none of the status check.
    void set_share(double share) { m_share = share; }

private:
    struct link {
        std::shared_ptr<anvilmount::tcp_stream> m_client{};
        std::shared_ptr<anvilmount::tcp_stream> m_server{};
        std::string m_from_client{};
        std::string m_from_server{};
        std::deque<std::string> m_requests{}; ///< Not passed on yet.
        bool m_awaits_answer{false};
        std::string m_ready{}; ///< The last READY line of the server.
    };
    using link_ptr = std::shared_ptr<link>;

    void accept(int fd);
    void on_client_bytes(const link_ptr& open, std::string_view bytes);
    void on_server_bytes(const link_ptr& open, std::string_view bytes);
    void pass_on(const link_ptr& open);
    void close(const link_ptr& open);

    anvilmount::reactor& m_loop;
    anvilmount::endpoint m_listen;
    anvilmount::endpoint m_target;
    failure_observer m_on_failed;
    std::unique_ptr<anvilmount::tcp_listener> m_listener;
    std::set<link_ptr> m_links;
    std::mt19937 m_random{1};
    double m_share{0};
};

}
