/// \file confirmation_lease.cpp
/// Which records a lease allows to be used after the store came back from an older copy.
#include "anvilmount/decisions/confirmation_lease.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

const steady_time start{100s};
const std::uint64_t before_restore = next_number(5, 1);
const std::uint64_t after_restore = next_number(before_restore, 2);

}

BOOST_AUTO_TEST_CASE(a_lease_that_never_lapsed_covers_records_from_before_the_restore) {
    confirmation_lease lease(10s);
    lease.renew(start, start, 1);
    lease.renew(start + 9s, start + 9s, 2);
    BOOST_TEST(lease.covers(before_restore));
    BOOST_TEST(lease.covers(after_restore));
}

BOOST_AUTO_TEST_CASE(a_lease_obtained_after_the_restore_covers_only_records_written_since) {
    confirmation_lease fresh(10s);
    fresh.renew(start, start, 2);
    BOOST_TEST(!fresh.covers(before_restore));
    BOOST_TEST(fresh.covers(after_restore));
    confirmation_lease lapsed(10s);
    lapsed.renew(start, start, 1);
    lapsed.renew(start + 10s, start + 10s, 2);
    BOOST_TEST(!lapsed.covers(before_restore));
    BOOST_TEST(lapsed.covers(after_restore));
}

/// A confirmation that arrives after the lease it renews has expired.
BOOST_AUTO_TEST_CASE(a_late_confirmation_does_not_bridge_a_lapse) {
    confirmation_lease lease(10s);
    lease.renew(start, start, 1);
    lease.renew(start + 9s, start + 11s, 2);
    BOOST_TEST(lease.is_valid(start + 11s));
    BOOST_TEST(!lease.covers(before_restore));
}

BOOST_AUTO_TEST_CASE(without_a_restore_every_record_is_covered) {
    confirmation_lease lease(10s);
    lease.renew(start, start, 1);
    lease.renew(start + 30s, start + 30s, 1);
    BOOST_TEST(lease.covers(1));
}

/// The store may forget a lease that the witnesses do not know of.
BOOST_AUTO_TEST_CASE(a_provisional_lease_is_short_until_it_is_known) {
    confirmation_lease lease(10s);
    BOOST_TEST(lease.renew(start, start, 1));
    lease.make_provisional();
    BOOST_TEST(lease.is_valid(start + confirmation_lease::provisional_duration - 1ms));
    BOOST_TEST(!lease.is_valid(start + confirmation_lease::provisional_duration));
    BOOST_TEST(!lease.renew(start + 1s, start + 1s, 1));
    lease.confirm_known(start + 2s);
    BOOST_TEST(!lease.is_provisional());
    BOOST_TEST(lease.is_valid(start + 10s));
}

/// After a restore the witnesses stop waiting for it.
BOOST_AUTO_TEST_CASE(a_provisional_lease_that_has_lapsed_does_not_come_back) {
    confirmation_lease lease(10s);
    lease.renew(start, start, 1);
    lease.make_provisional();
    lease.confirm_known(start + 2s);
    BOOST_TEST(lease.is_provisional());
    BOOST_TEST(!lease.is_valid(start + 2s));
    BOOST_TEST(lease.renew(start + 3s, start + 3s, 1));
}
