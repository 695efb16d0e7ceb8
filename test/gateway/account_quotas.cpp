/// \file account_quotas.cpp
/// Checks quotas of client accounts in a fleet of gateways, and of accounts below their limits. Guards
/// against quotas that are exceeded while homes restart, are cut off or are replaced, against a set of
/// homes that is lost with the store's newest changes, and against refusals of accounts that keep their
/// limits.
#include "anvilmount/gateway/account_quotas.hpp"

#include "support/gateway_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <random>

using namespace anvilmount;
using namespace anvilmount::test;

namespace {

const std::string set_table = "anvilmount_groups";
const std::string set_key = "account_homes";

constexpr quota_window window{};

double limit_of(double rate, double burst) {
    return (rate * 5 + burst) * (1 + window.m_overage) + window.m_slack;
}

/// Callers of one account that run as many operations as they can, or one from time to time, at whichever
/// instance the fleet sends them to.
class account_load {
public:
    account_load(gateway_fleet& fleet, std::string account)
        : m_fleet(fleet), m_account(std::move(account)) {}

    /// Runs one operation of a caller that connects to instance `number`.
    void run_operation(int number) {
        auto& entry = m_fleet.instance(number);
        const auto target = entry.forwarding_target("pay", m_account);
        // Instance N accepts forwarded sessions at port N. One that has ended accepts none.
        auto* serving = target ? m_fleet.find_instance(target->m_port) : &entry;
        if (serving == nullptr) {
            entry.on_forwarding_failed(*target);
            return;
        }
        const auto answered = std::make_shared<std::shared_ptr<gateway::caller_session>>();
        const auto opened = value_or_failure([&] {
            return serving->open_session(
                "pay",
                {.m_answer =
                     [this, now = m_fleet.m_clock.now()](const gateway::answer& reply) {
                         if (reply.m_code == result_code::quota_exceeded) {
                             ++m_refused;
                             m_last_reason = reply.m_reason;
                         } else if (reply.succeeded()) {
                             m_done_at.push_back(now);
                         } else {
                             ++m_failed;
                         }
                     },
                 .m_close = [](gateway::session_end) {}},
                m_account);
        });
        if (const auto* session = std::get_if<0>(&opened)) {
            (*session)->on_statement({.m_id = "q" + std::to_string(++m_operations),
                                      .m_kind = gateway::statement_kind::read,
                                      .m_text = "READ 1"});
            m_open.emplace_back(serving, *session);
        }
    }

    /// Ends the sessions whose operations have been answered; the instances of all others have ended.
    void end_sessions() {
        std::erase_if(m_open, [](const auto& each) {
            if (!each.second->is_idle()) {
                return false;
            }
            each.second->on_disconnect();
            each.first->forget_session(each.second);
            return true;
        });
    }

    /// The most operations that ran within any window.
    [[nodiscard]] std::size_t busiest_window() const {
        std::size_t most = 0;
        std::size_t from = 0;
        for (std::size_t to = 0; to < m_done_at.size(); ++to) {
            while (m_done_at[to] - m_done_at[from] >= window.m_length) {
                ++from;
            }
            most = std::max(most, to - from + 1);
        }
        return most;
    }

    std::vector<steady_time> m_done_at;
    int m_refused{0};
    int m_failed{0};
    std::string m_last_reason;

private:
    gateway_fleet& m_fleet;
    std::string m_account;
    std::vector<std::pair<gateway::gateway*, std::shared_ptr<gateway::caller_session>>> m_open;
    int m_operations{0};
};

void add_accounts(gateway_fleet& fleet, int instances) {
    fleet.m_configuration.m_accounts = {{"hot", {.m_operations_per_second = 40, .m_burst = 40}},
                                        {"small", {.m_operations_per_second = 8, .m_burst = 8}},
                                        {"free", {}}};
    fleet.m_configuration.m_revision = 2;
    for (int number = 1; number <= instances; ++number) {
        fleet.instance(number).adopt_configuration(fleet.m_configuration);
    }
}

/// Sends operations to every instance in turn, one each 10 ms.
void run_load(gateway_fleet& fleet, std::vector<account_load*> loads, milliseconds length) {
    int turn = 0;
    for (milliseconds passed{0}; passed < length; passed += milliseconds{10}) {
        ++turn;
        for (account_load* load : loads) {
            const int number = 1 + turn % 6;
            if (fleet.find_instance(number) != nullptr) {
                load->run_operation(number);
            }
        }
        fleet.run_for(milliseconds{10});
        for (account_load* load : loads) {
            load->end_sessions();
        }
    }
}

std::optional<account_home_set> stored_set(const gateway_fleet& fleet) {
    return gateway::parse_account_home_set(fleet.m_store.value(set_table, set_key));
}

}

BOOST_AUTO_TEST_CASE(the_first_set_is_stored_within_seconds_and_every_instance_uses_it) {
    gateway_fleet fleet(6);
    add_accounts(fleet, 6);
    fleet.run_for(milliseconds{8000});
    const auto set = stored_set(fleet);
    BOOST_REQUIRE(set.has_value());
    BOOST_TEST(set->m_homes.size() <= 6U);
    for (int number = 1; number <= 6; ++number) {
        const auto target = fleet.instance(number).forwarding_target("pay", "small");
        const auto other = fleet.instance(1).forwarding_target("pay", "small");
        if (target && other) {
            BOOST_TEST(target->m_port == other->m_port);
        }
    }
    account_load load(fleet, "small");
    run_load(fleet, {&load}, milliseconds{500});
    BOOST_TEST(!load.m_done_at.empty());
}

BOOST_AUTO_TEST_CASE(a_hot_account_is_refused_beyond_its_quota_and_told_when_to_retry) {
    gateway_fleet fleet(6);
    add_accounts(fleet, 6);
    fleet.run_for(milliseconds{8000});
    account_load hot(fleet, "hot");
    account_load free(fleet, "free");
    run_load(fleet, {&hot, &free}, milliseconds{12000});
    BOOST_TEST(static_cast<double>(hot.busiest_window()) <= limit_of(40, 40));
    // It gets what it has paid for.
    BOOST_TEST(hot.m_done_at.size() >= 12U * 40U);
    BOOST_TEST(hot.m_refused > 0);
    BOOST_TEST(hot.m_last_reason.find(" ms") != std::string::npos);
    BOOST_TEST(free.m_refused == 0);
    BOOST_TEST(free.m_done_at.size() >= 1100U);
}

BOOST_AUTO_TEST_CASE(a_rolling_restart_changes_no_set_and_exceeds_no_quota) {
    gateway_fleet fleet(6);
    add_accounts(fleet, 6);
    fleet.run_for(milliseconds{8000});
    const auto before = stored_set(fleet);
    account_load hot(fleet, "hot");
    account_load small(fleet, "small");
    for (int number = 1; number <= 6; ++number) {
        run_load(fleet, {&hot, &small}, milliseconds{1500});
        fleet.kill(number);
        run_load(fleet, {&hot, &small}, milliseconds{2500});
        fleet.start(number);
    }
    run_load(fleet, {&hot, &small}, milliseconds{2000});
    BOOST_TEST(static_cast<double>(hot.busiest_window()) <= limit_of(40, 40));
    BOOST_TEST(static_cast<double>(small.busiest_window()) <= limit_of(8, 8));
    BOOST_TEST((stored_set(fleet) == before));
    // 26 s, in each of which at least two of the three or four homes were up.
    BOOST_TEST(hot.m_done_at.size() >= 26U * 20U);
}

BOOST_AUTO_TEST_CASE(a_home_that_is_cut_off_stops_spending_before_it_is_replaced) {
    gateway_fleet fleet(6);
    add_accounts(fleet, 6);
    fleet.run_for(milliseconds{8000});
    int home = 0;
    for (int number = 1; number <= 6; ++number) {
        if (!fleet.instance(number).forwarding_target("pay", "small")) {
            home = number;
            break;
        }
    }
    BOOST_REQUIRE(home > 0);
    const std::string name = "i" + std::to_string(home);
    account_load small(fleet, "small");
    fleet.m_isolated.insert(name);
    fleet.m_store.m_refused_clients.insert(name);
    run_load(fleet, {&small}, milliseconds{40000});
    BOOST_TEST(static_cast<double>(small.busiest_window()) <= limit_of(8, 8));
    const auto set = stored_set(fleet);
    BOOST_REQUIRE(set.has_value());
    BOOST_TEST(std::none_of(set->m_homes.begin(), set->m_homes.end(),
                            [&](const account_home& each) { return each.m_name == name; }));
    // The new home spends at the end.
    BOOST_TEST(std::count_if(small.m_done_at.begin(), small.m_done_at.end(), [&](steady_time at) {
                   return at > fleet.m_clock.now() - milliseconds{5000};
               }) >= 35);
}

BOOST_AUTO_TEST_CASE(a_store_that_forgot_the_set_gets_a_new_one_and_no_quota_is_exceeded) {
    gateway_fleet fleet(6);
    const auto earlier = fleet.m_store.back_up();
    add_accounts(fleet, 6);
    fleet.run_for(milliseconds{8000});
    BOOST_REQUIRE(stored_set(fleet).has_value());
    account_load hot(fleet, "hot");
    run_load(fleet, {&hot}, milliseconds{3000});
    fleet.m_store.restore(earlier);
    BOOST_REQUIRE(!stored_set(fleet).has_value());
    run_load(fleet, {&hot}, milliseconds{30000});
    BOOST_REQUIRE(stored_set(fleet).has_value());
    BOOST_TEST(static_cast<double>(hot.busiest_window()) <= limit_of(40, 40));
    BOOST_TEST(std::count_if(hot.m_done_at.begin(), hot.m_done_at.end(), [&](steady_time at) {
                   return at > fleet.m_clock.now() - milliseconds{5000};
               }) >= 195);
    BOOST_TEST(fleet.write_succeeds(1, milliseconds{1000}, "free"));
}

BOOST_AUTO_TEST_CASE(without_accounts_no_set_is_stored) {
    gateway_fleet fleet(6);
    fleet.run_for(milliseconds{10000});
    BOOST_TEST(fleet.m_store.value(set_table, set_key).empty());
}

/// 75 accounts whose sizes follow a Zipf distribution with exponent 1.2, at 1/1.6 of their limits, and
/// callers in four data centres of which two have a quarter more than the others. The operations of each
/// caller are evenly spaced with jitter.
BOOST_AUTO_TEST_CASE(accounts_below_their_limits_are_not_refused) {
    constexpr std::size_t accounts_number = 75;
    constexpr double rate_of_all = 1700;
    std::vector<home_candidate> candidates;
    for (int number = 0; number < 8; ++number) {
        candidates.push_back({.m_home = {.m_name = "i" + std::to_string(number),
                                         .m_data_centre = {"dc" + std::to_string(number % 4)}},
                              .m_processor_millis = 500});
    }
    const account_home_set set{.m_generation = 1, .m_homes = choose_account_homes({}, candidates, 8)};
    double weights = 0;
    for (std::size_t rank = 1; rank <= accounts_number; ++rank) {
        weights += std::pow(static_cast<double>(rank), -1.2);
    }
    std::map<std::string, gateway::client_account> accounts;
    for (std::size_t rank = 1; rank <= accounts_number; ++rank) {
        const double rate = rate_of_all * std::pow(static_cast<double>(rank), -1.2) / weights;
        accounts["account" + std::to_string(rank)] = {.m_operations_per_second = rate, .m_burst = rate};
    }
    metrics counters;
    constexpr steady_time start{std::chrono::hours{1}};
    std::map<std::string, gateway::account_quotas> homes;
    for (const account_home& each : set.m_homes) {
        auto& quotas = homes
                           .try_emplace(each.m_name,
                                        gateway::account_quotas::options{.m_name = each.m_name,
                                                                         .m_validity = milliseconds{10000}},
                                        counters)
                           .first->second;
        quotas.adopt_accounts(accounts, start);
        quotas.on_set(set, 1, start);
    }
    const std::vector<double> share_of_centre{0.222, 0.278, 0.278, 0.222};
    std::minstd_rand random(20260105);
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    int operations = 0;
    std::map<std::string, int> refused;
    for (const auto& [account, detail] : accounts) {
        std::vector<std::pair<steady_time, std::size_t>> sent; // When, and in which data centre.
        for (std::size_t centre = 0; centre < share_of_centre.size(); ++centre) {
            const double rate = *detail.m_operations_per_second / 1.6 * share_of_centre[centre];
            for (double at = 10 + jitter(random) / rate; at < 70; at += jitter(random) / rate) {
                sent.emplace_back(start + milliseconds{static_cast<std::int64_t>(at * 1000)}, centre);
            }
        }
        std::sort(sent.begin(), sent.end());
        for (const auto& [now, centre] : sent) {
            const auto spenders = homes.begin()->second.spenders(account, now);
            const auto near = std::find_if(
                spenders.begin(), spenders.end(), [&, centre = centre](const account_home& each) {
                    return each.m_data_centre.m_text == "dc" + std::to_string(centre);
                });
            const bool single = homes.begin()->second.has_single_home(account);
            auto& home = homes.at((single || near == spenders.end() ? spenders.begin() : near)->m_name);
            home.on_heartbeat(now);
            ++operations;
            refused[account] += home.take(account, now) ? 1 : 0;
        }
    }
    int all_refused = 0;
    for (const auto& [account, number] : refused) {
        all_refused += number;
    }
    BOOST_TEST(operations > 60000);
    BOOST_TEST(all_refused == 0);
}

// Callers within the former quota were refused as soon as one instance knew the lower one.
BOOST_AUTO_TEST_CASE(a_lower_quota_takes_effect_after_a_delay_and_a_higher_one_at_once) {
    const account_home_set set{.m_generation = 1, .m_homes = {{.m_name = "a", .m_data_centre = {"dc"}}}};
    constexpr steady_time start{std::chrono::hours{1}};
    const auto accounts = [](double rate) {
        return std::map<std::string, gateway::client_account>{
            {"one", {.m_operations_per_second = rate, .m_burst = 0}}};
    };
    metrics counters;
    gateway::account_quotas quotas({.m_name = "a", .m_validity = milliseconds{5000}}, counters);
    quotas.adopt_accounts(accounts(100), start);
    quotas.on_set(set, 1, start);
    const auto served_in_a_second_from = [&](steady_time from) {
        int served = 0;
        for (steady_time now = from; now < from + milliseconds{1000}; now += milliseconds{5}) {
            quotas.on_heartbeat(now);
            quotas.tick(now);
            served += quotas.take("one", now) ? 0 : 1;
        }
        return served;
    };
    const int before = served_in_a_second_from(start + milliseconds{20000});
    quotas.adopt_accounts(accounts(40), start + milliseconds{21000});
    BOOST_TEST(served_in_a_second_from(start + milliseconds{21000}) >= before * 9 / 10);
    BOOST_TEST(served_in_a_second_from(start + milliseconds{24500}) < before * 3 / 4);
    BOOST_TEST(served_in_a_second_from(start + milliseconds{25500}) < before / 2);
    quotas.adopt_accounts(accounts(100), start + milliseconds{26500});
    BOOST_TEST(served_in_a_second_from(start + milliseconds{26500}) >= before * 9 / 10);
}
