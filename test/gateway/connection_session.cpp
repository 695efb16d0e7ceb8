/// \file connection_session.cpp
/// Plays connections that pass from caller to caller while any setup step may fail, with or without
/// effect, and checks that a connection which is said to be ready holds just what its statement needs.
#include "anvilmount/decisions/connection_session.hpp"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace anvilmount;
using step_kind = setup_step::kind;

namespace {

using values = std::map<std::string, std::string>;

/// The session as the upstream has it.
struct upstream_session {
    values m_values;
    std::set<std::string> m_prepared;

    void run(const setup_step& step) {
        switch (step.m_kind) {
        case step_kind::reset:
            m_values.clear();
            m_prepared.clear();
            break;
        case step_kind::set_value:
            m_values[step.m_name] = step.m_value;
            break;
        case step_kind::prepare:
            m_prepared.insert(step.m_name);
            break;
        }
    }
};

/// Sends all steps at once and answers them in order.
void set_up(connection_session& session, const session_needs& needs, bool succeeds) {
    const std::vector<setup_step> steps = session.steps_to(needs);
    for (const setup_step& each : steps) {
        session.record_sent(each);
    }
    for (const setup_step& each : steps) {
        session.record_answered(each, succeeds);
    }
}

}

BOOST_AUTO_TEST_CASE(a_connection_with_the_needed_values_needs_no_step) {
    connection_session session;
    const values wanted{{"owner", "a"}, {"zone", "b"}};
    const std::string name = "s1";
    set_up(session, {.m_values = &wanted, .m_prepared = &name}, true);
    BOOST_TEST(session.steps_to({.m_values = &wanted, .m_prepared = &name}).empty());
    BOOST_TEST(session.steps_to({.m_values = &wanted}).empty());
    BOOST_TEST((session.distance_to({.m_values = &wanted}) == setup_distance::none));
}

BOOST_AUTO_TEST_CASE(a_value_that_another_caller_has_left_is_cleared) {
    connection_session session;
    const values before{{"owner", "a"}};
    const values wanted;
    set_up(session, {.m_values = &before}, true);
    const auto steps = session.steps_to({.m_values = &wanted});
    BOOST_REQUIRE(steps.size() == 1U);
    BOOST_TEST((steps.front().m_kind == step_kind::reset));
}

BOOST_AUTO_TEST_CASE(a_value_whose_setting_failed_is_unknown) {
    connection_session session;
    const values wanted{{"owner", "a"}};
    const values none;
    set_up(session, {.m_values = &wanted}, false);
    BOOST_TEST(session.steps_to({.m_values = &wanted}).size() == 1U);
    BOOST_TEST((session.distance_to({.m_values = &none}) == setup_distance::reset));
}

/// A failed RESET may have left the values of before, also when what was sent behind it succeeded.
BOOST_AUTO_TEST_CASE(values_behind_a_failed_reset_do_not_hide_what_it_left) {
    connection_session session;
    const values before{{"owner", "a"}, {"zone", "b"}};
    const values wanted{{"owner", "c"}};
    set_up(session, {.m_values = &before}, true);
    const auto steps = session.steps_to({.m_values = &wanted});
    for (const setup_step& each : steps) {
        session.record_sent(each);
    }
    for (const setup_step& each : steps) {
        session.record_answered(each, each.m_kind != step_kind::reset);
    }
    BOOST_TEST((session.distance_to({.m_values = &wanted}) == setup_distance::reset));
}

BOOST_AUTO_TEST_CASE(a_ready_connection_holds_what_the_statement_needs_whatever_failed_before) {
    std::mt19937 random(20261207);
    const auto draw = [&](int below) { return static_cast<int>(random() % static_cast<unsigned>(below)); };
    int ready = 0;
    for (int round = 0; round < 20000; ++round) {
        connection_session session;
        upstream_session upstream;
        for (int turn = 0; turn < 8; ++turn) {
            values wanted;
            for (const char* name : {"a", "b", "c"}) {
                if (draw(2) == 0) {
                    wanted[name] = std::to_string(draw(2));
                }
            }
            const std::string prepared = "s" + std::to_string(draw(2));
            const session_needs needs{.m_values = &wanted,
                                      .m_prepared = draw(2) == 0 ? &prepared : nullptr};
            const std::vector<setup_step> steps = session.steps_to(needs);
            for (const setup_step& each : steps) {
                session.record_sent(each);
            }
            for (const setup_step& each : steps) {
                const int outcome = draw(4);
                if (outcome > 0) {
                    upstream.run(each);
                }
                session.record_answered(each, outcome > 1);
            }
            if (session.steps_to(needs).empty()) {
                ++ready;
                BOOST_REQUIRE((upstream.m_values == wanted));
                BOOST_REQUIRE((needs.m_prepared == nullptr || upstream.m_prepared.contains(prepared)));
            }
        }
    }
    BOOST_TEST(ready > 1000);
}
