/// \file pool_accounting.cpp
/// Guards against more connections than the upstream allows, a pool that opens
/// connections only when requests wait for them, and bursts of connects to an
/// upstream that refuses them.
#include "anvilmount/decisions/pool_accounting.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace anvilmount;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(idle_connections_are_opened_in_advance_up_to_the_limit) {
    const pool_accounting pool({.m_limit = 5, .m_min_idle = 2});
    BOOST_TEST(pool.connections_to_open(0, {}) == 2);
    BOOST_TEST(pool.connections_to_open(2, {}) == 4);
    BOOST_TEST(pool.connections_to_open(100, {}) == 5);
}

BOOST_AUTO_TEST_CASE(after_a_failed_connect_one_connection_is_opened_after_the_backoff) {
    pool_accounting pool({.m_limit = 5, .m_min_idle = 2});
    const steady_time now{seconds{10}};
    pool.record_opening();
    pool.record_open_failed(now, 0);
    BOOST_TEST(pool.connections_to_open(10, now) == 0);
    BOOST_TEST(pool.connections_to_open(10, now + seconds{1}) == 1);
    pool.record_opening();
    BOOST_TEST(pool.connections_to_open(10, now + seconds{1}) == 0);
    pool.record_opened();
    BOOST_TEST(pool.connections_to_open(10, now + seconds{1}) == 4);
}

BOOST_AUTO_TEST_CASE(connections_beyond_the_minimum_are_closed_after_the_idle_timeout) {
    pool_accounting pool({.m_limit = 5, .m_min_idle = 1, .m_idle_timeout = seconds{60}});
    for (int count = 0; count < 2; ++count) {
        pool.record_opening();
        pool.record_opened();
    }
    BOOST_TEST(!pool.should_close_idle(steady_time{}, steady_time{seconds{59}}));
    BOOST_TEST(pool.should_close_idle(steady_time{}, steady_time{seconds{60}}));
    pool.record_closed_idle();
    BOOST_TEST(!pool.should_close_idle(steady_time{}, steady_time{seconds{60}}));
}

BOOST_AUTO_TEST_CASE(the_limit_holds_for_any_sequence_of_events) {
    const bool holds = rc::check("total <= limit", [](const std::vector<std::uint8_t>& events) {
        pool_accounting pool({.m_limit = 4, .m_min_idle = 2});
        steady_time now{seconds{1}};
        for (const std::uint8_t event : events) {
            now += milliseconds{event};
            for (int count = pool.connections_to_open(event % 7, now); count > 0; --count) {
                pool.record_opening();
            }
            if (event % 5 == 0 && pool.opening() > 0) {
                pool.record_open_failed(now, event);
            } else if (event % 5 == 1 && pool.opening() > 0) {
                pool.record_opened();
            } else if (event % 5 == 2 && pool.idle() > 0) {
                pool.record_acquired();
            } else if (event % 5 == 3 && pool.busy() > 0) {
                pool.record_released();
            } else if (event % 5 == 4 && pool.busy() > 0) {
                pool.record_closed_busy();
            }
            RC_ASSERT(pool.total() <= pool.limit());
        }
    });
    BOOST_TEST(holds);
}
