/// \file faults.cpp
/// Guards against acknowledged writes that are lost, writes that run twice, and
/// writes that run although they were reported as not run. Real processes: writers
/// run while one or two faults are injected, and the table then shows the outcome of
/// each write. There is no time limit: a slow run does not fail.
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
    void (*m_inject)(fleet&);
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
void cut_primary_temporarily(fleet& all) {
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
void request_switch(fleet& all) {
    test::run_program(test::program("anvilmountctl"),
                      {"switch", "orders", "orders-2", "--server", all.operators(1)});
}

constexpr fault faults[] = {
    {"primary killed", kill_primary},
    {"primary cut off", cut_primary},
    {"primary cut off and healed", cut_primary_temporarily},
    {"primary paused", pause_primary},
    {"replica killed", kill_replica},
    {"replica lags", lag_replica},
    {"home killed", kill_home},
    {"home paused", pause_home},
    {"platform down", platform_down},
    {"switch by order", request_switch},
};

struct fault_pair {
    const char* m_name;
    void (*m_first)(fleet&);
    void (*m_second)(fleet&);
};

constexpr fault_pair fault_pairs[] = {
    {"platform down, primary cut off", platform_down, cut_primary},
    {"home killed, primary killed", kill_home, kill_primary},
    {"home paused, primary cut off", cut_primary, pause_home},
    {"replica lags, primary killed", lag_replica, kill_primary},
    {"platform down, home killed", platform_down, kill_home},
};

}

BOOST_AUTO_TEST_CASE(no_acknowledged_write_is_lost_or_run_twice_under_one_fault) {
    for (const fault& each : faults) {
        BOOST_TEST_CONTEXT(each.m_name) {
            BOOST_TEST_MESSAGE(each.m_name);
            fleet all({.m_instances = 3});
            check_writes_during_fault(all, [&] { each.m_inject(all); });
        }
    }
}

BOOST_AUTO_TEST_CASE(no_acknowledged_write_is_lost_or_run_twice_under_two_faults) {
    for (const fault_pair& each : fault_pairs) {
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
