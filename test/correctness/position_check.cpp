/// \file position_check.cpp
/// Checks that an upstream serves a position only if the record there is part of
/// the group's history. Guards against reads from an old primary whose log has
/// diverged: its offset may be sufficient while its records are not the group's.
#include "anvilmount/decisions/position_check.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace anvilmount;

namespace {

const std::vector<term_start> one_term{{1, 1}};
const std::vector<term_start> two_terms{{1, 1}, {2, 4}};

struct position_case {
    const char* m_description;
    log_position m_wanted;
    upstream_log m_upstream;
    position_status m_expected;
};

const position_case cases[] = {
    {"a replica asked for no position", {0, 0}, {false, 1, {1, 3}, one_term}, position_status::reached},
    {"a replica that has the position", {1, 3}, {false, 1, {1, 3}, one_term}, position_status::reached},
    {"a replica that lacks the position", {1, 4}, {false, 1, {1, 3}, one_term}, position_status::behind},
    {"an older term's position in a newer term",
     {1, 3},
     {false, 2, {2, 5}, two_terms},
     position_status::reached},
    {"a position that the next term replaced",
     {1, 4},
     {false, 2, {2, 5}, two_terms},
     position_status::lost},
    {"a newer term's position at an upstream of an older term",
     {2, 4},
     {false, 1, {1, 9}, one_term},
     position_status::behind},
    {"an old primary that follows and has not discarded its own records",
     {2, 4},
     {false, 2, {1, 8}, one_term},
     position_status::behind},
    {"an old primary that follows, asked for what the shared history has",
     {1, 3},
     {false, 2, {1, 8}, one_term},
     position_status::behind},
    {"a replica that has the first record of its term",
     {2, 4},
     {false, 2, {2, 4}, two_terms},
     position_status::reached},
    {"a primary", {1, 3}, {true, 1, {1, 3}, one_term}, position_status::reached},
    {"a primary of an older term than the token",
     {2, 4},
     {true, 1, {1, 9}, one_term},
     position_status::behind},
};

}

BOOST_AUTO_TEST_CASE(a_position_is_checked_against_the_history_of_the_upstream) {
    for (const position_case& each : cases) {
        BOOST_TEST_CONTEXT(each.m_description) {
            BOOST_TEST(static_cast<int>(check_position(each.m_wanted, each.m_upstream)) ==
                       static_cast<int>(each.m_expected));
        }
    }
}
