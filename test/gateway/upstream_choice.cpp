/// \file upstream_choice.cpp
/// Guards against reads that go to a distant, loaded or lagging replica, and against
/// reads that load the primary without need.
#include "anvilmount/decisions/upstream_choice.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

const read_constraints with_position{.m_min_position = log_position{.m_term = 1, .m_offset = 50}};

std::vector<read_candidate> group() {
    return {{.m_id = {"primary"}, .m_is_primary = true},
            {.m_id = {"near"}, .m_nearby = true, .m_position = log_position{.m_term = 1, .m_offset = 60}},
            {.m_id = {"far"}, .m_position = log_position{.m_term = 1, .m_offset = 60}}};
}

std::string chosen(const std::vector<read_candidate>& candidates, const read_constraints& constraints) {
    const auto found = choose_for_read(candidates, constraints, steady_time{10s});
    return found ? found->m_text : "none";
}

}

BOOST_AUTO_TEST_CASE(a_nearby_replica_is_preferred) {
    BOOST_TEST(chosen(group(), with_position) == "near");
}

BOOST_AUTO_TEST_CASE(a_loaded_replica_is_passed_over) {
    auto candidates = group();
    candidates[1].m_in_flight = 4;
    BOOST_TEST(chosen(candidates, with_position) == "far");
}

BOOST_AUTO_TEST_CASE(replicas_known_to_be_behind_are_not_chosen) {
    auto candidates = group();
    candidates[1].m_behind_until = steady_time{11s};
    candidates[2].m_behind_until = steady_time{11s};
    BOOST_TEST(chosen(candidates, with_position) == "primary");
}

BOOST_AUTO_TEST_CASE(without_a_provable_position_only_the_primary_is_chosen) {
    BOOST_TEST(chosen(group(), {}) == "primary");
    auto candidates = group();
    candidates.erase(candidates.begin());
    BOOST_TEST(chosen(candidates, {}) == "none");
}

BOOST_AUTO_TEST_CASE(an_excluded_upstream_is_not_chosen) {
    read_constraints constraints = with_position;
    const std::vector<upstream_id> near{{"near"}};
    constraints.m_excluded = near;
    BOOST_TEST(chosen(group(), constraints) == "far");
    const std::vector<upstream_id> both{{"near"}, {"far"}};
    constraints.m_excluded = both;
    BOOST_TEST(chosen(group(), constraints) == "primary");
}

BOOST_AUTO_TEST_CASE(an_unusable_upstream_is_not_chosen) {
    auto candidates = group();
    for (read_candidate& each : candidates) {
        each.m_usable = false;
    }
    BOOST_TEST(chosen(candidates, with_position) == "none");
}
