/// \file introductions.cpp
/// When a lease counts as known to the witnesses.
#include "anvilmount/decisions/introductions.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

const steady_time start{100s};
const store_version lease{.m_era = 1, .m_number = 50};

listed_witness witness(const std::string& incarnation) {
    return {.m_incarnation = incarnation, .m_address = {.m_address = "10.1.0.2", .m_port = 1}};
}

introductions begun(const std::vector<listed_witness>& listed) {
    introductions made;
    made.begin(lease);
    made.adopt({.m_era = 1, .m_number = 51}, listed);
    return made;
}

}

/// Who became a witness between an earlier read and the lease would not hear of it.
BOOST_AUTO_TEST_CASE(witnesses_read_before_the_lease_was_stored_do_not_count) {
    introductions made;
    made.begin(lease);
    made.adopt({.m_era = 1, .m_number = 49}, {});
    BOOST_TEST(made.needs_read());
    BOOST_TEST(!made.are_complete());
    made.adopt({.m_era = 2, .m_number = 60}, {});
    BOOST_TEST(!made.are_complete());
    made.adopt(lease, {});
    BOOST_TEST(made.are_complete());
}

BOOST_AUTO_TEST_CASE(a_lease_is_known_once_each_witness_has_answered_or_ended) {
    introductions made = begun({witness("a"), witness("b"), witness("c")});
    BOOST_TEST(made.take_due(start).size() == 3U);
    made.record_result("a", introduction_result::known);
    made.record_result("b", introduction_result::ended);
    made.record_result("c", introduction_result::unanswered);
    BOOST_TEST(!made.are_complete());
    BOOST_TEST(made.take_due(start + 10ms).empty());
    const auto again = made.take_due(start + 1s);
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again.front().m_incarnation == "c");
    made.record_result("c", introduction_result::known);
    BOOST_TEST(made.are_complete());
}

BOOST_AUTO_TEST_CASE(a_witness_that_is_no_longer_listed_is_not_waited_for) {
    introductions made = begun({witness("a"), witness("b")});
    made.record_result("a", introduction_result::known);
    made.adopt({.m_era = 1, .m_number = 70}, {witness("a")});
    BOOST_TEST(made.are_complete());
}

/// A witness counts an instance only until its lease lapses.
BOOST_AUTO_TEST_CASE(a_lease_that_is_obtained_anew_is_introduced_anew) {
    introductions made = begun({witness("a")});
    made.record_result("a", introduction_result::known);
    BOOST_TEST(made.are_complete());
    made.begin({.m_era = 1, .m_number = 90});
    BOOST_TEST(!made.are_complete());
    made.adopt({.m_era = 1, .m_number = 91}, {witness("a")});
    BOOST_TEST(made.take_due(start).size() == 1U);
}
