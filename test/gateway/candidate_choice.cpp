/// \file candidate_choice.cpp
/// Checks which upstream replaces a primary. Guards against the promotion of one that lacks commits which
/// another upstream holds.
#include "anvilmount/decisions/candidate_choice.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

const steady_time start{100s};

plan_upstream replica(const char* id, std::uint64_t offset) {
    return {.m_id = {id},
            .m_registered = true,
            .m_status_at = start,
            .m_term = 1,
            .m_position = {.m_term = 1, .m_offset = offset}};
}

struct group {
    std::vector<plan_upstream> m_upstreams{replica("a", 100), replica("b", 90), replica("c", 95)};
    choice_context m_context{.m_primary = {"a"},
                             .m_term = 1,
                             .m_fresh_since = start - 400ms,
                             .m_complete_since = start,
                             .m_now = start,
                             .m_wait = 1500ms,
                             .m_wait_from = start};

    group() {
        m_upstreams[0].m_status_at.reset();
        m_upstreams[0].m_is_primary = true;
        m_upstreams[0].m_registered_as_primary = true;
    }
    [[nodiscard]] candidate_choice choose(const char* preferred = "") {
        m_context.m_upstreams = m_upstreams;
        return choose_candidate(m_context, {preferred});
    }
};

}

BOOST_AUTO_TEST_CASE(the_upstream_that_holds_the_most_is_chosen) {
    group tested;
    const candidate_choice choice = tested.choose("b");
    BOOST_REQUIRE(choice.m_best != nullptr);
    BOOST_TEST(choice.m_best->m_id.m_text == "c");
    BOOST_TEST(choice.m_is_complete);
}

BOOST_AUTO_TEST_CASE(of_equal_logs_the_preferred_one_is_chosen) {
    group tested;
    tested.m_upstreams[1].m_position = tested.m_upstreams[2].m_position;
    BOOST_TEST(tested.choose("b").m_best->m_id.m_text == "b");
    BOOST_TEST(tested.choose("c").m_best->m_id.m_text == "c");
}

BOOST_AUTO_TEST_CASE(a_choice_without_a_replicas_report_is_incomplete) {
    for (const auto age : {std::optional<milliseconds>{}, std::optional<milliseconds>{10ms}}) {
        group tested;
        tested.m_upstreams[2].m_status_at =
            age ? std::optional<steady_time>{start - *age} : std::optional<steady_time>{};
        BOOST_TEST(!tested.choose().m_is_complete);
    }
}

/// A report from before may lack what was acknowledged after it.
BOOST_AUTO_TEST_CASE(an_older_report_still_tells_what_the_upstream_holds_at_least) {
    group tested;
    tested.m_upstreams[2].m_status_at = start - 10ms;
    BOOST_TEST(tested.choose().m_best->m_id.m_text == "c");
}

BOOST_AUTO_TEST_CASE(a_candidate_that_holds_all_acknowledged_commits_waits_for_nobody) {
    group tested;
    tested.m_upstreams[2].m_status_at.reset();
    tested.m_context.m_acknowledged = {.m_range = {.m_at_most = {.m_term = 1, .m_offset = 90}},
                                       .m_is_final = true};
    BOOST_TEST(tested.choose().m_is_complete);
    tested.m_context.m_acknowledged.m_range.m_at_most.m_offset = 91;
    BOOST_TEST(!tested.choose().m_is_complete);
    tested.m_context.m_acknowledged = {.m_range = {.m_at_most = {.m_term = 1, .m_offset = 90}},
                                       .m_is_final = false};
    BOOST_TEST(!tested.choose().m_is_complete);
}

/// The instance that acknowledged the last commit may have left.
BOOST_AUTO_TEST_CASE(with_synchronous_replicas_acknowledged_positions_replace_no_report) {
    group tested;
    tested.m_context.m_synchronous_replicas = 1;
    tested.m_upstreams[2].m_status_at.reset();
    tested.m_context.m_acknowledged = {.m_range = {.m_at_most = {.m_term = 1, .m_offset = 90}},
                                       .m_is_final = true};
    BOOST_TEST(!tested.choose().m_is_complete);
}

/// The replica that held them has gone; the primary may come back.
BOOST_AUTO_TEST_CASE(with_synchronous_replicas_a_choice_that_lacks_acknowledged_commits_is_incomplete) {
    group tested;
    tested.m_context.m_synchronous_replicas = 1;
    acknowledged_range& range = tested.m_context.m_acknowledged.m_range;
    range = {.m_at_least = {.m_term = 1, .m_offset = 96}, .m_at_most = {.m_term = 1, .m_offset = 99}};
    BOOST_TEST(!tested.choose().m_is_complete);
    // The primary's log may end with commits that were not acknowledged.
    range.m_at_least.m_offset = 95;
    BOOST_TEST(tested.choose().m_is_complete);
    tested.m_context.m_registry_complete = false;
    BOOST_TEST(!tested.choose().m_is_complete);
}

BOOST_AUTO_TEST_CASE(a_leaving_upstream_is_chosen_only_if_it_holds_more) {
    group tested;
    tested.m_upstreams[2].m_leaving = true;
    BOOST_TEST(tested.choose().m_best->m_id.m_text == "c");
    tested.m_upstreams[1].m_position = tested.m_upstreams[2].m_position;
    BOOST_TEST(tested.choose("c").m_best->m_id.m_text == "b");
    tested.m_upstreams[2].m_status_at.reset();
    BOOST_TEST(!tested.choose().m_is_complete);
}

BOOST_AUTO_TEST_CASE(an_upstream_whose_registration_is_gone_is_not_waited_for) {
    group tested;
    tested.m_upstreams[2].m_status_at.reset();
    tested.m_upstreams[2].m_departed = true;
    BOOST_TEST(tested.choose().m_is_complete);
    BOOST_TEST(tested.choose().m_best->m_id.m_text == "b");
}

BOOST_AUTO_TEST_CASE(the_recorded_primary_may_be_chosen_once_it_is_a_replica) {
    group tested;
    tested.m_upstreams[0].m_status_at = start;
    BOOST_TEST(tested.choose().m_best->m_id.m_text == "c");
    tested.m_upstreams[0].m_is_primary = false;
    BOOST_TEST(tested.choose().m_best->m_id.m_text == "a");
}

BOOST_AUTO_TEST_CASE(nobody_is_chosen_without_a_report) {
    group tested;
    tested.m_upstreams[1].m_status_at.reset();
    tested.m_upstreams[2].m_status_at.reset();
    BOOST_TEST((tested.choose().m_best == nullptr));
    BOOST_TEST(!tested.choose().m_is_complete);
}

BOOST_AUTO_TEST_CASE(a_replica_that_does_not_report_is_waited_for_no_longer_than_the_bound) {
    group tested;
    tested.m_upstreams[2].m_status_at.reset();
    tested.m_context.m_now = start + 1499ms;
    BOOST_TEST(!tested.choose().m_is_complete);
    tested.m_context.m_now = start + 1500ms;
    BOOST_TEST(tested.choose().m_is_complete);
}

/// After a pause in the requests the first one to answer was promoted, though others had just answered too.
BOOST_AUTO_TEST_CASE(a_replica_that_answered_lately_is_asked_again) {
    group tested;
    tested.m_context.m_now = start + 2000ms;
    tested.m_context.m_fresh_since = start + 1600ms;
    tested.m_upstreams[1].m_status_at = start + 1990ms;
    tested.m_upstreams[2].m_status_at = start + 1500ms;
    BOOST_TEST(!tested.choose().m_is_complete);
    tested.m_context.m_now = start + 3000ms;
    tested.m_context.m_fresh_since = start + 1990ms;
    BOOST_TEST(tested.choose().m_is_complete);
}

/// A busy upstream answers later than reports are held to be fresh.
BOOST_AUTO_TEST_CASE(a_report_that_comes_late_counts) {
    group tested;
    tested.m_context.m_now = start + 500ms;
    tested.m_context.m_fresh_since = start + 100ms;
    tested.m_upstreams[1].m_status_at = start + 490ms;
    tested.m_upstreams[2].m_answered_at = start + 500ms;
    BOOST_TEST(tested.choose().m_best->m_id.m_text == "c");
    BOOST_TEST(tested.choose().m_is_complete);
}

/// It came back as a replica and has not reported since.
BOOST_AUTO_TEST_CASE(the_recorded_primary_is_waited_for_if_its_registration_says_that_it_is_a_replica) {
    group tested;
    BOOST_TEST(tested.choose().m_is_complete);
    tested.m_upstreams[0].m_registered_as_primary = false;
    BOOST_TEST(!tested.choose().m_is_complete);
    tested.m_context.m_primary_refuses_connections = true;
    BOOST_TEST(tested.choose().m_is_complete);
}
