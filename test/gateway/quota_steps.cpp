/// \file quota_steps.cpp
/// Plays every order of changes of the set of account homes, late changes, freezes, cuts, restarts, returns
/// of the store from an older copy, and spending, four steps deep, and longer random ones. Each instance
/// spends whatever it may, at once or saved up. Guards against two instances that spend the same part of a
/// quota.
///
/// An operation reaches its upstream up to 500 ms after it was counted. What may arrive in a window is what
/// was counted in a span that is longer by that time, so that every delay of messages is covered. The
/// quotas are chosen so that the shares use up the whole window.
#include "anvilmount/gateway/account_quotas.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

using namespace anvilmount;
using gateway::account_quotas;

namespace {

constexpr milliseconds tick{100};
constexpr milliseconds validity{800};
constexpr quota_window window{.m_length = milliseconds{2000}};
constexpr std::size_t span_ticks = (window.m_length + max_operation_delay) / tick;
constexpr std::size_t instances = 3;
constexpr steady_time start{std::chrono::hours{1}};

/// 0.55 r = 0.6 b + 10, so that the sum of the shares is the limit: one account with several homes, one
/// with one home and the alternate.
const std::map<std::string, gateway::client_account> accounts{
    {"large", {.m_operations_per_second = 80, .m_burst = 34.0 / 0.6}},
    {"small", {.m_operations_per_second = 19, .m_burst = 0.45 / 0.6}}};

account_home home(std::size_t instance) {
    return {.m_name = std::string(1, static_cast<char>('a' + instance)),
            .m_data_centre = {"dc" + std::to_string(instance)}};
}

const std::array<std::vector<account_home>, 3> sets{
    std::vector{home(0), home(1)}, std::vector{home(1), home(2)}, std::vector{home(2), home(0)}};

enum class step { change, change_late, freeze_or_thaw, cut_or_heal, restart, hold_or_spend, restore };
struct move {
    step m_step{};
    std::size_t m_target{0}; ///< Of sets, or an instance.
};

std::vector<move> all_moves() {
    std::vector<move> moves{{.m_step = step::restore}};
    for (const step each : {step::change, step::change_late, step::freeze_or_thaw, step::cut_or_heal,
                            step::restart, step::hold_or_spend}) {
        for (std::size_t target = 0; target < instances; ++target) {
            moves.push_back({.m_step = each, .m_target = target});
        }
    }
    return moves;
}

metrics counters;

account_quotas started(std::size_t instance, steady_time now) {
    account_quotas made({.m_name = home(instance).m_name, .m_validity = validity, .m_window = window},
                        counters);
    made.adopt_accounts(accounts, now);
    return made;
}

struct process {
    account_quotas m_quotas;
    bool m_frozen{false};
    bool m_cut{false};
    bool m_holds{false}; ///< Saves its tokens up.
    /// A heartbeat that was made before the cut and is answered two ticks later.
    steady_time m_answer_at{};
    steady_time m_heartbeat_sent_at{};
};

/// The fleet, its store and what was counted.
class model {
public:
    model() {
        for (std::size_t instance = 0; instance < instances; ++instance) {
            m_processes.push_back({.m_quotas = started(instance, m_now), .m_holds = true});
        }
        run(30);
        hold_all(false);
    }

    void hold_all(bool holds) {
        for (process& each : m_processes) {
            each.m_holds = holds;
        }
    }

    /// Plays `what`, and lets `ticks` pass.
    void play(const move& what, int ticks = 1) {
        process& instance = m_processes[what.m_target];
        switch (what.m_step) {
        case step::change:
            if (auto set = planned(what.m_target)) {
                store(*set);
            }
            break;
        case step::change_late:
            m_late = planned(what.m_target);
            break;
        case step::freeze_or_thaw:
            instance.m_frozen = !instance.m_frozen;
            break;
        case step::cut_or_heal:
            instance.m_cut = !instance.m_cut;
            instance.m_heartbeat_sent_at = m_now;
            instance.m_answer_at = m_now + 2 * tick;
            break;
        case step::restart:
            instance.m_quotas = started(what.m_target, m_now);
            instance.m_frozen = false;
            break;
        case step::hold_or_spend:
            instance.m_holds = !instance.m_holds;
            break;
        case step::restore:
            if (m_history.size() > 1) {
                m_history.pop_back();
                ++m_era;
                m_known_since = m_now;
            }
            break;
        }
        run(ticks);
        if (m_late) {
            // It is made on the condition that the set has not changed since it was requested.
            if (m_late->m_generation == m_history.back().m_generation + 1) {
                store(*m_late);
            }
            m_late.reset();
        }
    }

    void run(int ticks) {
        for (int number = 0; number < ticks; ++number) {
            m_now += tick;
            std::map<std::string, int> spent;
            for (process& each : m_processes) {
                run_process(each, spent);
            }
            for (const auto& [account, detail] : accounts) {
                check(m_spent[account], detail, spent[account]);
            }
        }
    }

    [[nodiscard]] bool is_within_limits() const { return m_within_limits; }
    [[nodiscard]] bool spends_all() const { return m_spends_all; }

private:
    [[nodiscard]] std::optional<account_home_set> planned(std::size_t target) const {
        account_homes_plan plan({.m_change_interval = m_processes.front().m_quotas.rights().waiting_time(),
                                 .m_replace_after = milliseconds{0}});
        account_homes_view view{.m_stored = m_history.back(),
                                .m_stored_known_since = m_known_since,
                                .m_max_homes = 2,
                                .m_era = m_era};
        for (const account_home& each : sets[target]) {
            view.m_candidates.push_back({.m_home = each});
            view.m_last_seen[each.m_name] = m_now;
        }
        return plan.next(view, m_now);
    }

    void store(const account_home_set& set) {
        m_history.push_back(set);
        m_known_since = m_now;
    }

    void run_process(process& each, std::map<std::string, int>& spent) {
        if (each.m_frozen) {
            return;
        }
        if (!each.m_cut) {
            each.m_quotas.on_set(m_history.back(), m_era, m_now);
            each.m_quotas.on_heartbeat(m_now);
        } else if (m_now >= each.m_answer_at && each.m_heartbeat_sent_at != steady_time{}) {
            each.m_quotas.on_heartbeat(each.m_heartbeat_sent_at);
            each.m_heartbeat_sent_at = {};
        }
        each.m_quotas.tick(m_now);
        for (const auto& [account, detail] : accounts) {
            while (!each.m_holds && !each.m_quotas.take(account, m_now)) {
                ++spent[account];
            }
        }
    }

    void check(std::vector<int>& history, const gateway::client_account& account, int spent) {
        history.push_back(spent);
        int sum = 0;
        const std::size_t from = history.size() - std::min(history.size(), span_ticks);
        for (std::size_t index = from; index < history.size(); ++index) {
            sum += history[index];
        }
        const double length = std::chrono::duration<double>(window.m_length).count();
        const double limit =
            (*account.m_operations_per_second * length + account.m_burst) * (1 + window.m_overage) +
            window.m_slack;
        m_within_limits = m_within_limits && sum <= limit + 1e-6;
        m_spends_all = m_spends_all || sum >= limit - 12;
    }

    steady_time m_now{start};
    std::vector<account_home_set> m_history{{.m_generation = 1, .m_homes = sets[0]}};
    std::uint64_t m_era{1};
    steady_time m_known_since{start - std::chrono::hours{1}};
    std::optional<account_home_set> m_late;
    std::vector<process> m_processes;
    std::map<std::string, std::vector<int>> m_spent; ///< By tick. Key: account.
    bool m_within_limits{true};
    bool m_spends_all{false};
};

std::string describe(const std::vector<move>& moves) {
    constexpr std::array names{"change",  "late change", "freeze/thaw", "cut/heal",
                               "restart", "hold/spend",  "restore"};
    std::string text;
    for (const move& each : moves) {
        text += std::string{names.at(static_cast<std::size_t>(each.m_step))} + " " +
                std::to_string(each.m_target) + "; ";
    }
    return text;
}

void explore(const model& before, int depth, std::vector<move>& played, std::uint64_t& sequences) {
    if (depth == 0) {
        ++sequences;
        model last = before;
        last.run(static_cast<int>(span_ticks) - 3);
        BOOST_REQUIRE_MESSAGE(last.is_within_limits(), describe(played));
        return;
    }
    for (const move& each : all_moves()) {
        model next = before;
        next.play(each);
        played.push_back(each);
        BOOST_REQUIRE_MESSAGE(next.is_within_limits(), describe(played));
        explore(next, depth - 1, played, sequences);
        played.pop_back();
    }
}

}

BOOST_AUTO_TEST_CASE(without_faults_the_shares_use_up_the_window) {
    model fleet;
    fleet.run(60);
    BOOST_TEST(fleet.is_within_limits());
    BOOST_TEST(fleet.spends_all());
}

BOOST_AUTO_TEST_CASE(every_order_of_four_steps_stays_within_the_limits) {
    std::vector<move> played;
    std::uint64_t sequences = 0;
    explore(model{}, 4, played, sequences);
    BOOST_TEST(sequences == 130321U);
}

BOOST_AUTO_TEST_CASE(after_a_change_every_order_of_three_steps_stays_within_the_limits) {
    // All save up their tokens during the change, so that spending twice would exceed the window.
    model changed;
    changed.hold_all(true);
    changed.play({.m_step = step::change, .m_target = 1}, 30);
    changed.hold_all(false);
    std::vector<move> played;
    std::uint64_t sequences = 0;
    explore(changed, 3, played, sequences);
    BOOST_TEST(sequences == 6859U);
}

/// Instance 0 sleeps with full buckets while the set changes away from it and back.
BOOST_AUTO_TEST_CASE(tokens_from_before_a_gap_are_not_spent_after_it) {
    model fleet;
    fleet.play({.m_step = step::hold_or_spend, .m_target = 0}, 10);
    fleet.play({.m_step = step::freeze_or_thaw, .m_target = 0});
    fleet.play({.m_step = step::change, .m_target = 1}, 14);
    fleet.play({.m_step = step::hold_or_spend, .m_target = 1}, 10);
    fleet.play({.m_step = step::hold_or_spend, .m_target = 2}, 10);
    fleet.play({.m_step = step::cut_or_heal, .m_target = 1});
    fleet.play({.m_step = step::change, .m_target = 2}, 1);
    fleet.play({.m_step = step::hold_or_spend, .m_target = 1}, 1);
    fleet.play({.m_step = step::hold_or_spend, .m_target = 2}, 8);
    fleet.play({.m_step = step::hold_or_spend, .m_target = 0}, 0);
    fleet.play({.m_step = step::freeze_or_thaw, .m_target = 0}, 0);
    fleet.play({.m_step = step::change, .m_target = 0}, 20);
    BOOST_TEST(fleet.is_within_limits());
}

BOOST_AUTO_TEST_CASE(random_orders_of_sixteen_steps_stay_within_the_limits) {
    const std::vector<move> moves = all_moves();
    for (std::uint32_t seed = 1; seed <= 4000; ++seed) {
        std::minstd_rand random(seed);
        model fleet;
        std::vector<move> played;
        for (int number = 0; number < 16; ++number) {
            played.push_back(moves[random() % moves.size()]);
            fleet.play(played.back(), 1 + static_cast<int>(random() % 5));
        }
        fleet.run(static_cast<int>(span_ticks));
        BOOST_REQUIRE_MESSAGE(fleet.is_within_limits(),
                              "seed " + std::to_string(seed) + ": " + describe(played));
    }
}
