/// \file handover_steps.cpp
/// Explores changes of primary in virtual time: for each way in which one begins, one or two faults strike
/// at each moment of it. Checked all along: what is acknowledged at the primary ran at the newest one (the
/// fixture of primary_check), fencing tokens only rise (gateway_fleet), and within the bound every instance
/// serves writes again.
///
/// In CI two faults come at each third moment; with the environment variable ANVILMOUNT_EXPLORE_ALL set,
/// at each.
#include "support/primary_check.hpp"

#include "anvilmount/gateway/fleet_membership.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <set>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

/// Time between two moments at which faults strike, and their number from the beginning of a change.
constexpr milliseconds step_time{150};
constexpr int step_count = 15;

/// After this long all faults end, but for crashed upstreams.
constexpr milliseconds fault_time{5000};

/// Longer than it takes another coordinator to wait for a lease and to order a promotion itself.
constexpr milliseconds late_confirmation{16000};

/// From the end of the faults: a lease and its margin, a takeover, the longest wait for orders, a
/// promotion.
constexpr milliseconds recovery_bound{24000};

enum class beginning {
    primary_leaves,
    primary_crashes,
    primary_cut_off, ///< From all instances but one; it returns with the end of the faults.
    primary_refuses, ///< As cut off, but connections are reset and refused.
};
constexpr std::array beginnings{beginning::primary_leaves, beginning::primary_crashes,
                                beginning::primary_cut_off, beginning::primary_refuses};

enum class fault {
    coordinator_killed,  ///< And started again.
    coordinator_stopped, ///< As by SIGTERM, and started again.
    coordinator_cut_off, ///< From the store and the other instances; answers under way come late.
    instance_refuses,    ///< One instance reaches upstreams only, and refuses the others' probes.
    instance_killed,     ///< And started again.
    store_away,
    changes_late, ///< Each third change at the store is made 2.5 s later.
    change_answers_lost,
    promotion_answers_lost,
    confirmation_late, ///< The coordinator is cut off while its next order is confirmed.
    paths_heal,        ///< A primary that was cut off is back.
    store_restored,    ///< The store comes back as it was when the change began.
    primary_leaves,    ///< The newest primary is to be replaced, by plan.
};
constexpr std::array faults{
    fault::coordinator_killed, fault::coordinator_stopped, fault::coordinator_cut_off,
    fault::instance_refuses,   fault::instance_killed,     fault::store_away,
    fault::changes_late,       fault::change_answers_lost, fault::promotion_answers_lost,
    fault::confirmation_late,  fault::paths_heal,          fault::store_restored,
    fault::primary_leaves};

class handover {
public:
    void begin(beginning how) {
        m_fleet.m_upstreams.m_promotion_time = 900ms;
        m_fleet.run_for(300ms);
        m_backup = m_fleet.m_store.back_up();
        switch (how) {
        case beginning::primary_leaves:
            m_check.leave_primary();
            break;
        case beginning::primary_crashes:
            m_fleet.m_upstreams.crash("orders-1");
            break;
        case beginning::primary_cut_off:
            for (int number = 1; number < instances; ++number) {
                m_fleet.m_upstreams.cut("i" + std::to_string(number), "orders-1");
            }
            break;
        case beginning::primary_refuses:
            for (int number = 1; number < instances; ++number) {
                m_fleet.m_upstreams.refuse("i" + std::to_string(number), "orders-1");
            }
            break;
        }
        m_began_at = m_fleet.m_clock.now();
    }

    /// Restarts all instances in turn, as by SIGTERM, `gap` apart. What the processes that end still change
    /// at the store is made `delay` later, when the next ones have registered.
    void restart_in_turn(milliseconds gap, milliseconds delay) {
        m_fleet.run_for(300ms);
        for (int number = 1; number <= instances; ++number) {
            const std::string name = "i" + std::to_string(number);
            m_fleet.m_store.m_change_delay = [name, delay](const std::string& client, const auto& change) {
                const bool changes_member =
                    std::any_of(change.m_writes.begin(), change.m_writes.end(), [](const auto& row) {
                        return row.m_key.starts_with(gateway::member_prefix);
                    });
                return client == name && (changes_member || !change.m_removals.empty()) ? delay : 0ms;
            };
            m_fleet.instance(number).leave(3000ms, [] {});
            m_fleet.run_for(200ms);
            m_fleet.m_store.m_change_delay = [](const auto&, const auto&) { return 0ms; };
            restart(number);
            m_fleet.run_for(gap);
        }
    }

    void wait(milliseconds time) { m_fleet.run_for(time); }

    /// One instance reaches callers and upstreams only, and knows of no fault.
    void isolate(int number) { cut_off("i" + std::to_string(number)); }

    /// Runs until the moment `step`, with statements at all instances.
    void run_until(int step) {
        while (m_fleet.m_clock.now() < m_began_at + step_time * step) {
            send_one();
        }
    }

    void apply(fault which) {
        const int active = m_fleet.coordinator();
        const int other = active == instances ? 1 : instances;
        switch (which) {
        case fault::coordinator_killed:
            restart(active);
            break;
        case fault::coordinator_stopped:
            if (active > 0) {
                m_fleet.instance(active).leave(3000ms, [] {});
                m_stopped.insert(active);
            }
            break;
        case fault::coordinator_cut_off:
            if (active > 0) {
                const std::string name = "i" + std::to_string(active);
                cut_off(name);
                m_fleet.m_store.m_answer_delay = [name](const std::string& client, const auto&) {
                    return client == name ? 6000ms : 0ms;
                };
            }
            break;
        case fault::instance_refuses:
            cut_off("i" + std::to_string(other));
            m_fleet.m_refuses_probes.insert("i" + std::to_string(other));
            break;
        case fault::instance_killed:
            restart(other);
            break;
        case fault::store_away:
            m_fleet.m_store.m_unreachable = true;
            break;
        case fault::changes_late:
            m_fleet.m_store.m_change_delay = [count = 0](const auto&, const auto&) mutable {
                return ++count % 3 == 0 ? 2500ms : 0ms;
            };
            break;
        case fault::change_answers_lost:
            m_fleet.m_store.m_loses_change_answers = true;
            break;
        case fault::promotion_answers_lost:
            m_fleet.m_loses_promotion_answers = true;
            break;
        case fault::confirmation_late:
            m_fleet.m_store.m_answer_delay = [this, name = "i" + std::to_string(active), confirmed = false](
                                                 const std::string& client,
                                                 const gateway::store_change& change) mutable {
                const bool confirms = client == name && change.m_writes.size() == 1 &&
                                      change.m_writes.front().m_key == gateway::coordinator_key;
                if (!confirms || std::exchange(confirmed, true)) {
                    return 0ms;
                }
                cut_off(name);
                return late_confirmation;
            };
            break;
        case fault::paths_heal:
            m_fleet.m_upstreams.heal_paths();
            break;
        case fault::store_restored:
            m_fleet.m_store.restore(m_backup);
            break;
        case fault::primary_leaves:
            m_check.leave_primary();
            break;
        }
    }

    void check_recovery() {
        const steady_time faults_end = m_began_at + fault_time;
        while (m_fleet.m_clock.now() < faults_end) {
            send_one();
        }
        end_faults();
        std::set<int> serving;
        while (m_fleet.m_clock.now() < faults_end + recovery_bound && serving.size() < instances) {
            const int number = next_instance();
            if (m_check.write(number)) {
                serving.insert(number);
            }
            m_check.read(number);
        }
        BOOST_TEST(serving.size() == instances);
        for (const std::string& violation : m_fleet.m_upstreams.m_violations) {
            BOOST_ERROR(violation);
        }
    }

private:
    static constexpr int instances = 4;

    int next_instance() { return 1 + m_round++ % instances; }

    void send_one() {
        const int number = next_instance();
        if (m_round % 2 == 0) {
            static_cast<void>(m_check.write(number));
        } else {
            static_cast<void>(m_check.read(number));
        }
    }

    void restart(int number) {
        if (number > 0) {
            m_fleet.kill(number);
            m_fleet.start(number);
        }
    }

    void cut_off(const std::string& name) {
        m_fleet.m_store.m_refused_clients.insert(name);
        m_fleet.m_isolated.insert(name);
    }

    void end_faults() {
        m_fleet.m_upstreams.heal_paths();
        m_fleet.m_store.m_unreachable = false;
        m_fleet.m_store.m_loses_change_answers = false;
        m_fleet.m_loses_promotion_answers = false;
        m_fleet.m_store.m_change_delay = [](const auto&, const auto&) { return 0ms; };
        m_fleet.m_store.m_answer_delay = [](const auto&, const auto&) { return 0ms; };
        m_fleet.m_store.m_refused_clients.clear();
        m_fleet.m_isolated.clear();
        m_fleet.m_refuses_probes.clear();
        for (const int number : m_stopped) {
            restart(number);
        }
    }

    test::gateway_fleet m_fleet{instances};
    test::primary_check m_check{m_fleet};
    std::set<int> m_stopped;
    std::shared_ptr<const test::fake_store::backup> m_backup; ///< Of the beginning of the change.
    steady_time m_began_at{};
    int m_round{0};
};

}

BOOST_AUTO_TEST_CASE(one_fault_at_each_moment_of_a_change_of_primary) {
    int runs = 0;
    for (const beginning how : beginnings) {
        for (int step = 0; step < step_count; ++step) {
            for (const fault each : faults) {
                BOOST_TEST_CONTEXT("beginning " << static_cast<int>(how) << ", step " << step << ", fault "
                                                << static_cast<int>(each)) {
                    handover run;
                    run.begin(how);
                    run.run_until(step);
                    run.apply(each);
                    run.check_recovery();
                    ++runs;
                }
            }
        }
    }
    std::cout << "changes of primary with one fault: " << runs << "\n";
}

BOOST_AUTO_TEST_CASE(two_faults_at_neighbouring_moments_of_a_change_of_primary) {
    const int stride = std::getenv("ANVILMOUNT_EXPLORE_ALL") == nullptr ? 3 : 1;
    int runs = 0;
    for (const beginning how : beginnings) {
        for (int step = 0; step < step_count; step += stride) {
            for (const fault first : faults) {
                for (const fault second : faults) {
                    BOOST_TEST_CONTEXT("beginning " << static_cast<int>(how) << ", step " << step
                                                    << ", faults " << static_cast<int>(first) << " and "
                                                    << static_cast<int>(second)) {
                        handover run;
                        run.begin(how);
                        run.run_until(step);
                        run.apply(first);
                        run.run_until(step + 1);
                        run.apply(second);
                        run.check_recovery();
                        ++runs;
                    }
                }
            }
        }
    }
    std::cout << "changes of primary with two faults: " << runs << "\n";
}

/// Case 5 of the review: a late change of an ended process must not hide the lease of the next one.
BOOST_AUTO_TEST_CASE(a_change_of_primary_after_restarts_in_turn_with_late_changes) {
    int runs = 0;
    for (const milliseconds gap : {100ms, 400ms, 1200ms}) {
        for (const milliseconds delay : {400ms, 1000ms, 2500ms, 4500ms}) {
            for (const milliseconds pause : {0ms, 4000ms, 13000ms}) {
                for (int isolated = 1; isolated <= 4; ++isolated) {
                    BOOST_TEST_CONTEXT("gap " << gap.count() << ", delay " << delay.count() << ", pause "
                                              << pause.count() << ", isolated " << isolated) {
                        handover run;
                        run.restart_in_turn(gap, delay);
                        run.wait(pause);
                        run.isolate(isolated);
                        run.begin(beginning::primary_leaves);
                        run.check_recovery();
                        ++runs;
                    }
                }
            }
        }
    }
    std::cout << "changes of primary after restarts in turn: " << runs << "\n";
}
