/// \file request_guard.cpp
/// Guards against a write with a request id that takes effect twice, or is reported
/// as done although it was rolled back. Each test plays the upstream's replies to
/// the state machine and checks the step that follows.
#include "anvilmount/decisions/request_guard.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;

namespace {

const guarded_request payment{.m_id = "pay-'1", .m_digest = "77"};

bool runs_sql(const guard_step& step, const std::string& expected) {
    return step.m_action == guard_action::run_sql && step.m_sql.find(expected) != std::string::npos;
}

guard_answer error(const char* sqlstate) {
    return {.m_error = sqlstate};
}

}

BOOST_AUTO_TEST_CASE(the_first_run_records_the_id_and_commits_in_one_transaction) {
    request_guard guard(payment);
    BOOST_TEST(runs_sql(guard.start(), "BEGIN; INSERT INTO anvilmount_request"));
    BOOST_TEST((guard.on_answer({}).m_action == guard_action::run_request));
    BOOST_TEST(guard.is_running_request());
    const guard_step commit = guard.on_answer({.m_tag = "UPDATE 1"});
    BOOST_TEST(runs_sql(commit, "SET tag = 'UPDATE 1' WHERE id = 'pay-''1'; COMMIT"));
    BOOST_TEST((guard.on_answer({}).m_action == guard_action::send_reply));
}

BOOST_AUTO_TEST_CASE(a_repeated_request_gets_the_outcome_of_the_first_run) {
    request_guard guard(payment);
    BOOST_TEST(runs_sql(guard.start(), "INSERT"));
    BOOST_TEST(runs_sql(guard.on_answer(error("23505")), "ROLLBACK; SELECT statement, tag"));
    const guard_step replayed = guard.on_answer({.m_digest = "77", .m_tag = "UPDATE 1"});
    BOOST_TEST((replayed.m_action == guard_action::replay_reply));
    BOOST_TEST(replayed.m_tag == "UPDATE 1");
}

BOOST_AUTO_TEST_CASE(an_id_reused_for_another_statement_is_refused) {
    request_guard guard(payment);
    BOOST_TEST(runs_sql(guard.start(), "INSERT"));
    BOOST_TEST(runs_sql(guard.on_answer(error("23505")), "SELECT"));
    const guard_step refused = guard.on_answer({.m_digest = "78", .m_tag = "UPDATE 1"});
    BOOST_TEST(number_of(refused.m_refusal.m_code) == 1313);
}

BOOST_AUTO_TEST_CASE(a_failed_request_is_rolled_back_with_its_id) {
    request_guard guard(payment);
    BOOST_TEST(runs_sql(guard.start(), "INSERT"));
    BOOST_TEST((guard.on_answer({}).m_action == guard_action::run_request));
    BOOST_TEST(runs_sql(guard.on_answer(error("23514")), "ROLLBACK"));
    BOOST_TEST((guard.on_answer({}).m_action == guard_action::send_error_reply));
}

BOOST_AUTO_TEST_CASE(a_request_at_a_former_primary_is_reported_as_not_run) {
    for (const char* sqlstate : {"25006", "57P01"}) {
        request_guard guard(payment);
        BOOST_TEST(runs_sql(guard.start(), "INSERT"));
        BOOST_TEST(runs_sql(guard.on_answer(error(sqlstate)), "ROLLBACK"));
        BOOST_TEST(number_of(guard.on_answer({}).m_refusal.m_code) == 1205);
    }
    request_guard failed_commit(payment);
    BOOST_TEST(runs_sql(failed_commit.start(), "INSERT"));
    BOOST_TEST((failed_commit.on_answer({}).m_action == guard_action::run_request));
    BOOST_TEST(runs_sql(failed_commit.on_answer({.m_tag = "UPDATE 1"}), "COMMIT"));
    BOOST_TEST(runs_sql(failed_commit.on_answer(error("25006")), "ROLLBACK"));
    BOOST_TEST(number_of(failed_commit.on_answer({}).m_refusal.m_code) == 1205);
}

BOOST_AUTO_TEST_CASE(a_missing_table_is_created) {
    request_guard guard(payment);
    BOOST_TEST(runs_sql(guard.start(), "INSERT"));
    BOOST_TEST(runs_sql(guard.on_answer(error("42P01")), "CREATE TABLE IF NOT EXISTS anvilmount_request"));
    BOOST_TEST(runs_sql(guard.on_answer({}), "BEGIN; INSERT"));
}

BOOST_AUTO_TEST_CASE(a_concurrent_repeat_is_refused_and_a_trimmed_row_is_recorded_again) {
    request_guard concurrent(payment);
    BOOST_TEST(runs_sql(concurrent.start(), "INSERT"));
    BOOST_TEST(runs_sql(concurrent.on_answer(error("40P01")), "ROLLBACK"));
    BOOST_TEST(number_of(concurrent.on_answer({}).m_refusal.m_code) == 1312);
    request_guard trimmed(payment);
    BOOST_TEST(runs_sql(trimmed.start(), "INSERT"));
    BOOST_TEST(runs_sql(trimmed.on_answer(error("23505")), "SELECT"));
    BOOST_TEST(runs_sql(trimmed.on_answer({}), "INSERT"));
}

BOOST_AUTO_TEST_CASE(invalid_request_ids_are_refused) {
    BOOST_TEST(check_request_id("").has_value());
    BOOST_TEST(check_request_id(std::string(201, 'x')).has_value());
    BOOST_TEST(check_request_id("a\nb").has_value());
    BOOST_TEST(!check_request_id("pay-1").has_value());
}
