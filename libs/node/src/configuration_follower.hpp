/// \file configuration_follower.hpp
/// Polls the platform for the configuration and the list of instances, and applies
/// changes to group_knowledge and membership. While the platform is down, the last
/// accepted configuration stays in force. A lower revision is never applied.
#pragma once

#include "group_knowledge.hpp"
#include "membership.hpp"

#include "anvilmount/control_store/control_store_client.hpp"

#include <functional>
#include <random>

namespace anvilmount {

struct configuration_follower_options {
    milliseconds m_interval{1000}; ///< Average time between polls.
};

class configuration_follower {
public:
    configuration_follower(reactor& loop, std::uint32_t seed, control_store_client& platform,
                           group_knowledge& knowledge, membership& members,
                           configuration_follower_options options);

    /// Sets the function to call, in the loop's thread, after a new configuration is in force.
    void set_change_handler(std::function<void()> handler) { m_on_change = std::move(handler); }

    /// Polls without waiting for the next interval.
    void poll_now();

    [[nodiscard]] nlohmann::json dump() const;

private:
    void schedule_poll();
    void read_configuration();
    void read_snapshot(std::uint64_t revision, const std::string& object);
    void read_instances();
    /// Logs the first failure since the platform last answered, and keeps the latest message.
    void report_trouble(const char* what, const failure& why);

    reactor& m_reactor;
    std::mt19937 m_random;
    control_store_client& m_platform;
    group_knowledge& m_knowledge;
    membership& m_members;
    configuration_follower_options m_options;
    std::function<void()> m_on_change;
    std::string m_last_trouble; ///< Error of the last failed read; empty while the platform answers.
    bool m_read_in_flight{false};
    std::size_t m_polls_until_list{0}; ///< Polls left before the list of instances is read again.
};

}
