/// \file limits_site.hpp
/// Fixture for callers that misbehave: gateway processes with the limits of a small machine, stand-ins of
/// the store and of one group in this process, and crowds of raw connections. A test checks only that the
/// process lives, stays under a bound of memory and of descriptors, and answers an ordinary request.
#pragma once

#include "line_platform/line_upstreams.hpp"
#include "line_platform/row_store.hpp"
#include "support/event_loop.hpp"
#include "support/fleet.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace test {

/// Memory of the machine that the gateways are told of, and the bound of their resident memory.
constexpr int machine_memory_mb = 96;

/// Descriptors that the gateways are told of, and the bound of those that they hold.
constexpr int machine_descriptors = 1000;

/// Callers of a crowd, and the size of one message near the limit of 1 MiB.
constexpr int crowd_size = 100;
constexpr std::size_t large_message_size = (std::size_t{1} << 20U) - 64;

enum class gateway_port { callers, readiness, peers, store_relay, metrics };

struct limits_options {
    int m_gateways{1};
    int m_max_connections{21}; ///< Of each upstream, which decides how many gateways hold connections.
    std::vector<std::string> m_settings{};
};

class limits_site {
public:
    /// Returns once all gateways answer an ordinary request.
    explicit limits_site(limits_options options = {});

    [[nodiscard]] anvilmount::reactor& loop() { return m_loop.m_loop; }
    [[nodiscard]] anvilmount::endpoint address(gateway_port port, int gateway = 0) const;

    /// Runs the stand-ins for `duration`.
    void run_for(anvilmount::milliseconds duration);

    /// Opens a session, reads one item and returns whether the answer came. Refusals, which an ordinary
    /// caller may get and retries, are repeated for some 20 s.
    [[nodiscard]] bool ordinary_request_is_answered(int gateway = 0);

    /// Checks an ordinary request, the process, the peak of its memory, and its descriptors.
    void check(int gateway = 0);

    /// Writes an item, whose data a READ of it returns.
    void write_item(const std::string& item, const std::string& data);

private:
    void write_configuration();
    void publish_registration(const std::string& upstream);
    [[nodiscard]] bool try_request(int gateway);
    /// Sends `text` in a session of its own and returns what came until `lines` lines are complete.
    [[nodiscard]] std::string exchange(int gateway, const std::string& text, int lines);
    [[nodiscard]] static long resident_kb(pid_t process, const std::string& field);

    limits_options m_options;
    anvilmount::test::event_loop m_loop;
    standin::line_upstreams m_upstreams;
    standin::row_store m_store;
    std::vector<std::unique_ptr<child_process>> m_gateways;
};

/// Raw connections that send the same bytes.
class crowd {
public:
    crowd(limits_site& site, const anvilmount::endpoint& where, int size);
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Sends `text` on each connection, at most `piece` bytes at a time by turns, until all is sent, or
    /// nothing more is accepted for a second. Connections that were closed are left out.
    void send(std::string_view text, std::size_t piece = std::size_t{256} * 1024);

    /// Reads and drops up to `most` bytes of each connection.
    void read(std::size_t most);

private:
    struct connection {
        int m_fd{-1};
        std::size_t m_sent{0};
    };

    limits_site& m_site;
    std::vector<connection> m_connections;
};

}
