/// \file faults.cpp
/// Each promise under each failure, with real processes: writers run while one
/// fault comes, or two together, and then the table tells what became of every
/// write. No bound on time: slow is no failure here.
#include "support/promises.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

using namespace std::chrono_literals;
using test::check_writes_during_fault;
using test::fleet;

namespace {

struct fault {
    const char* m_name;
    void (*m_bring)(fleet&);
};

void pause_for(test::child_process& process, std::chrono::milliseconds time) {
    process.signal(SIGSTOP);
    std::this_thread::sleep_for(time);
    process.signal(SIGCONT);
}

void kill_primary(fleet& all) {
    all.upstream_process(0).kill_now();
}
void cut_primary(fleet& all) {
    all.query_upstream(0, "SELECT standin_control('cut', 'on')");
}
void cut_and_heal_primary(fleet& all) {
    cut_primary(all);
    std::this_thread::sleep_for(1200ms);
    all.query_upstream(0, "SELECT standin_control('cut', 'off')");
}
void pause_primary(fleet& all) {
    pause_for(all.upstream_process(0), 1500ms);
}
void kill_replica(fleet& all) {
    all.upstream_process(2).kill_now();
}
void lag_replica(fleet& all) {
    all.query_upstream(1, "SELECT standin_control('lag_ms', '800')");
}
void kill_home(fleet& all) {
    all.instance(all.home_of("orders-1")).kill_now();
}
void pause_home(fleet& all) {
    pause_for(all.instance(all.home_of("orders-1")), 2500ms);
}
void platform_down(fleet& all) {
    all.platform_fault(R"({"down":true})");
}
void switch_primary(fleet& all) {
    test::run_program(test::program("anvilmountctl"),
                      {"switch", "orders", "orders-2", "--server", all.operators(1)});
}

constexpr fault faults[] = {
    {"primary killed", kill_primary},
    {"primary cut off", cut_primary},
    {"primary cut off and healed", cut_and_heal_primary},
    {"primary paused", pause_primary},
    {"replica killed", kill_replica},
    {"replica lags", lag_replica},
    {"home killed", kill_home},
    {"home paused", pause_home},
    {"platform down", platform_down},
    {"switch by order", switch_primary},
};

struct pair_of_faults {
    const char* m_name;
    void (*m_first)(fleet&);
    void (*m_second)(fleet&);
};

constexpr pair_of_faults pairs[] = {
    {"platform down, primary cut off", platform_down, cut_primary},
    {"home killed, primary killed", kill_home, kill_primary},
    {"home paused, primary cut off", cut_primary, pause_home},
    {"replica lags, primary killed", lag_replica, kill_primary},
    {"platform down, home killed", platform_down, kill_home},
};

}

BOOST_AUTO_TEST_CASE(writes_keep_their_promises_under_one_fault) {
    for (const fault& each : faults) {
        BOOST_TEST_CONTEXT(each.m_name) {
            BOOST_TEST_MESSAGE(each.m_name);
            fleet all({.m_instances = 3});
            check_writes_during_fault(all, [&] { each.m_bring(all); });
        }
    }
}

BOOST_AUTO_TEST_CASE(writes_keep_their_promises_under_two_faults_at_once) {
    for (const pair_of_faults& each : pairs) {
        BOOST_TEST_CONTEXT(each.m_name) {
            BOOST_TEST_MESSAGE(each.m_name);
            fleet all({.m_instances = 3});
            check_writes_during_fault(all, [&] {
                each.m_first(all);
                each.m_second(all);
            });
        }
    }
}
