/// \file configuration_follower.hpp
/// Keeps this instance's configuration and list of instances up to date from
/// the platform. What was accepted once stays in force while the platform is
/// down, and a lower revision is never taken.
#pragma once

#include "group_knowledge.hpp"
#include "membership.hpp"

#include "anvilmount/control_store/control_store_client.hpp"

#include <functional>
#include <random>

namespace anvilmount {

struct configuration_follower_options {
    milliseconds m_interval{1000};
};

class configuration_follower {
public:
    configuration_follower(reactor& loop, std::uint32_t seed, control_store_client& platform,
                           group_knowledge& knowledge, membership& members,
                           configuration_follower_options options);

    /// Called in the loop's thread when a configuration has come into force.
    void set_change_handler(std::function<void()> call) { m_on_change = std::move(call); }

    void poll_now();
    [[nodiscard]] nlohmann::json dump() const;

private:
    void schedule();
    void read_configuration();
    void read_snapshot(std::uint64_t revision, const std::string& object);
    void read_instances();
    void report_trouble(const char* what, const failure& why);

    reactor& m_reactor;
    std::mt19937 m_random;
    control_store_client& m_platform;
    group_knowledge& m_knowledge;
    membership& m_members;
    configuration_follower_options m_options;
    std::function<void()> m_on_change;
    std::string m_last_trouble; ///< Empty while the platform answers.
    bool m_read_in_flight{false};
    std::size_t m_polls_until_list{0}; ///< Polls left before the list of instances is read again.
};

}
