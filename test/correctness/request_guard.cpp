/// \file request_guard.cpp
/// A request with an id takes effect once: each answer leads to the one step
/// that keeps that true.
#include "anvilmount/decisions/request_guard.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;

namespace {

const guarded_request payment{.m_id = "pay-'1", .m_digest = "77"};

bool runs(const guard_step& step, const std::string& part) {
    return step.m_action == guard_action::run_sql && step.m_sql.find(part) != std::string::npos;
}

guard_answer error(const char* state) {
    return {.m_error = state};
}

}

BOOST_AUTO_TEST_CASE(a_first_run_records_runs_and_commits_in_one_transaction) {
    request_guard guard(payment);
    BOOST_TEST(runs(guard.start(), "BEGIN; INSERT INTO anvilmount_request"));
    BOOST_TEST((guard.on_answer({}).m_action == guard_action::run_request));
    BOOST_TEST(guard.is_running_request());
    const guard_step commit = guard.on_answer({.m_tag = "UPDATE 1"});
    BOOST_TEST(runs(commit, "SET tag = 'UPDATE 1' WHERE id = 'pay-''1'; COMMIT"));
    BOOST_TEST((guard.on_answer({}).m_action == guard_action::send_reply));
}

BOOST_AUTO_TEST_CASE(a_repeat_gets_the_first_outcome) {
    request_guard guard(payment);
    BOOST_TEST(runs(guard.start(), "INSERT"));
    BOOST_TEST(runs(guard.on_answer(error("23505")), "ROLLBACK; SELECT statement, tag"));
    const guard_step again = guard.on_answer({.m_digest = "77", .m_tag = "UPDATE 1"});
    BOOST_TEST((again.m_action == guard_action::replay_reply));
    BOOST_TEST(again.m_tag == "UPDATE 1");
}

BOOST_AUTO_TEST_CASE(an_id_of_another_statement_is_refused) {
    request_guard guard(payment);
    BOOST_TEST(runs(guard.start(), "INSERT"));
    BOOST_TEST(runs(guard.on_answer(error("23505")), "SELECT"));
    const guard_step refused = guard.on_answer({.m_digest = "78", .m_tag = "UPDATE 1"});
    BOOST_TEST(number_of(refused.m_refusal.m_code) == 1313);
}

BOOST_AUTO_TEST_CASE(an_error_of_the_request_leaves_no_trace_of_the_id) {
    request_guard guard(payment);
    BOOST_TEST(runs(guard.start(), "INSERT"));
    BOOST_TEST((guard.on_answer({}).m_action == guard_action::run_request));
    BOOST_TEST(runs(guard.on_answer(error("23514")), "ROLLBACK"));
    BOOST_TEST((guard.on_answer({}).m_action == guard_action::send_error_reply));
}

BOOST_AUTO_TEST_CASE(a_primary_that_is_none_any_more_is_left_as_not_run) {
    for (const char* state : {"25006", "57P01"}) {
        request_guard guard(payment);
        BOOST_TEST(runs(guard.start(), "INSERT"));
        BOOST_TEST(runs(guard.on_answer(error(state)), "ROLLBACK"));
        BOOST_TEST(number_of(guard.on_answer({}).m_refusal.m_code) == 1205);
    }
    request_guard late(payment);
    BOOST_TEST(runs(late.start(), "INSERT"));
    BOOST_TEST((late.on_answer({}).m_action == guard_action::run_request));
    BOOST_TEST(runs(late.on_answer({.m_tag = "UPDATE 1"}), "COMMIT"));
    BOOST_TEST(runs(late.on_answer(error("25006")), "ROLLBACK"));
    BOOST_TEST(number_of(late.on_answer({}).m_refusal.m_code) == 1205);
}

BOOST_AUTO_TEST_CASE(the_table_is_made_when_it_is_missing) {
    request_guard guard(payment);
    BOOST_TEST(runs(guard.start(), "INSERT"));
    BOOST_TEST(runs(guard.on_answer(error("42P01")), "CREATE TABLE IF NOT EXISTS anvilmount_request"));
    BOOST_TEST(runs(guard.on_answer({}), "BEGIN; INSERT"));
}

BOOST_AUTO_TEST_CASE(a_twin_that_still_runs_is_waited_for_and_a_trimmed_row_is_run_again) {
    request_guard twin(payment);
    BOOST_TEST(runs(twin.start(), "INSERT"));
    BOOST_TEST(runs(twin.on_answer(error("40P01")), "ROLLBACK"));
    BOOST_TEST(number_of(twin.on_answer({}).m_refusal.m_code) == 1312);
    request_guard trimmed(payment);
    BOOST_TEST(runs(trimmed.start(), "INSERT"));
    BOOST_TEST(runs(trimmed.on_answer(error("23505")), "SELECT"));
    BOOST_TEST(runs(trimmed.on_answer({}), "INSERT"));
}

BOOST_AUTO_TEST_CASE(ids_are_checked) {
    BOOST_TEST(check_request_id("").has_value());
    BOOST_TEST(check_request_id(std::string(201, 'x')).has_value());
    BOOST_TEST(check_request_id("a\nb").has_value());
    BOOST_TEST(!check_request_id("pay-1").has_value());
}
