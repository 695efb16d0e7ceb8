/// \file lease_renewals.cpp
/// Heartbeats that are published for several instances in one row. A reader must see each renewal,
/// whatever the order in which heartbeats and rows arrive, since it counts on a lease having lapsed.
#include "anvilmount/decisions/lease_renewals.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

const steady_time start{1h};
const std::string row = "renewals/1";

}

BOOST_AUTO_TEST_CASE(each_renewal_is_seen_once) {
    published_renewals published;
    observed_renewals observed;
    published.record("a", 1, start);
    published.record("b", 1, start);
    BOOST_TEST(observed.observe(row, published.counts(start)).size() == 2U);
    BOOST_TEST(observed.observe(row, published.counts(start)).empty());
    published.record("b", 2, start + 3s);
    const auto renewed = observed.observe(row, published.counts(start + 3s));
    BOOST_REQUIRE(renewed.size() == 1U);
    BOOST_TEST(renewed[0] == "b");
}

/// A reader that has seen count 1 must not find it again after 2 was published in between.
BOOST_AUTO_TEST_CASE(a_late_heartbeat_does_not_hide_a_newer_one) {
    published_renewals published;
    observed_renewals observed;
    published.record("a", 1, start);
    (void)observed.observe(row, published.counts(start));
    published.record("a", 2, start + 1s);
    published.record("a", 1, start + 2s);
    BOOST_TEST(observed.observe(row, published.counts(start + 2s)).size() == 1U);
}

/// The store may apply a change late and thereby restore an older row.
BOOST_AUTO_TEST_CASE(a_row_that_goes_back_counts_as_renewed) {
    observed_renewals observed;
    (void)observed.observe(row, {{"a", 5}});
    BOOST_TEST(observed.observe(row, {{"a", 4}}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_renewal_stays_published_for_longer_than_the_lease) {
    published_renewals published;
    published.record("a", 1, start);
    BOOST_TEST(published.counts(start + 12s).size() == 1U);
    BOOST_TEST(published.counts(start + 60s).empty());
}

BOOST_AUTO_TEST_CASE(rows_of_several_relays_are_compared_separately) {
    observed_renewals observed;
    (void)observed.observe("renewals/1", {{"a", 5}});
    BOOST_TEST(observed.observe("renewals/2", {{"a", 6}}).size() == 1U);
    BOOST_TEST(observed.observe("renewals/1", {{"a", 5}}).empty());
    observed.forget("renewals/1");
    BOOST_TEST(observed.observe("renewals/1", {{"a", 5}}).size() == 1U);
}
