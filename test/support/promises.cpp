/// \file promises.cpp
/// Runs the failover load of the stand-ins in a thread and checks its result.
#include "support/promises.hpp"

#include "load/gap_load.hpp"

#include <boost/test/unit_test.hpp>

#include <thread>

namespace test {

using namespace std::chrono_literals;

void check_writes_during_fault(fleet& all, const std::function<void()>& inject_fault) {
    nlohmann::json outcome;
    std::thread load([&] {
        outcome =
            standin::run_gap_load({.m_caller_addresses = {all.caller(0), all.caller(1), all.caller(2)},
                                   .m_group = "orders",
                                   .m_connections = 6,
                                   .m_duration = 4500ms,
                                   .m_settle_timeout = 30000ms,
                                   .m_request_ids = true,
                                   .m_seed = 20261204});
    });
    std::this_thread::sleep_for(800ms);
    inject_fault();
    load.join();
    BOOST_TEST_MESSAGE(outcome.dump());
    BOOST_TEST(outcome["table_read"].get<bool>());
    BOOST_TEST(outcome["acked"].get<long>() > 0);
    BOOST_TEST(outcome["acked_lost"].get<long>() == 0);
    BOOST_TEST(outcome["not_run_but_ran"].get<long>() == 0);
    BOOST_TEST(outcome["doubled"].get<long>() == 0);
}

}
