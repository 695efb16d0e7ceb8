/// \file caller_limits.cpp
/// What the limits of callers tell about the connections that they count.
#include "caller_limits.hpp"
#include "support/event_loop.hpp"

#include "anvilmount/observe/metrics.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;

namespace {

struct connection : line_protocol::limited_connection {
    void on_room() override {}
    void close_for(result_code) override {}
    void close_for_exit() override {}
};

}

/// Guards against a process that ends while a closed connection lingers: the kernel would reset it for
/// bytes that nobody has read, and the caller might lose its last answer.
BOOST_AUTO_TEST_CASE(a_process_has_connections_until_the_last_one_has_lingered) {
    test::event_loop loop;
    metrics counters;
    line_protocol::caller_limits limits(loop.m_loop, {}, counters);
    connection first;
    connection second;
    const auto closed = limits.add(first);
    const auto lingering = limits.add(second);
    BOOST_TEST(limits.has_connections());
    limits.remove(lingering, true);
    limits.remove(closed, false);
    BOOST_TEST(limits.has_connections());
    loop.run_until([&] { return !limits.has_connections(); });
    limits.remove(limits.add(first), false);
    BOOST_TEST(!limits.has_connections());
}
