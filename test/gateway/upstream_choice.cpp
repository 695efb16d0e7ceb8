/// \file upstream_choice.cpp
/// Reads go where they are answered first, and spare the primary.
#include "anvilmount/decisions/upstream_choice.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

const read_constraints recent{.m_min_position = log_position{.m_term = 1, .m_offset = 50}};

std::vector<read_candidate> group() {
    return {{.m_id = {"primary"}, .m_is_primary = true},
            {.m_id = {"near"}, .m_nearby = true, .m_position = log_position{.m_term = 1, .m_offset = 60}},
            {.m_id = {"far"}, .m_position = log_position{.m_term = 1, .m_offset = 60}}};
}

std::string chosen(const std::vector<read_candidate>& candidates, const read_constraints& demand) {
    const auto found = choose_for_read(candidates, demand, steady_time{10s});
    return found ? found->m_text : "none";
}

}

BOOST_AUTO_TEST_CASE(a_nearby_replica_goes_first) {
    BOOST_TEST(chosen(group(), recent) == "near");
}

BOOST_AUTO_TEST_CASE(a_loaded_replica_gives_way) {
    auto candidates = group();
    candidates[1].m_in_flight = 4;
    BOOST_TEST(chosen(candidates, recent) == "far");
}

BOOST_AUTO_TEST_CASE(replicas_known_to_be_behind_are_left_alone) {
    auto candidates = group();
    candidates[1].m_behind_until = steady_time{11s};
    candidates[2].m_behind_until = steady_time{11s};
    BOOST_TEST(chosen(candidates, recent) == "primary");
}

BOOST_AUTO_TEST_CASE(without_a_provable_age_only_the_primary_serves) {
    BOOST_TEST(chosen(group(), {}) == "primary");
    auto candidates = group();
    candidates.erase(candidates.begin());
    BOOST_TEST(chosen(candidates, {}) == "none");
}

BOOST_AUTO_TEST_CASE(an_upstream_that_just_failed_the_read_is_not_asked_again) {
    read_constraints demand = recent;
    const std::vector<upstream_id> near{{"near"}};
    demand.m_excluded = near;
    BOOST_TEST(chosen(group(), demand) == "far");
    const std::vector<upstream_id> both{{"near"}, {"far"}};
    demand.m_excluded = both;
    BOOST_TEST(chosen(group(), demand) == "primary");
}

BOOST_AUTO_TEST_CASE(leaving_and_failing_upstreams_serve_nothing) {
    auto candidates = group();
    for (read_candidate& each : candidates) {
        each.m_usable = false;
    }
    BOOST_TEST(chosen(candidates, recent) == "none");
}
