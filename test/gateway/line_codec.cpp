/// \file line_codec.cpp
/// Tests the codec of the line protocol: statements, answers and greetings, and malformed input.
#include "line_codec.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace anvilmount;
using namespace anvilmount::line_protocol;
using gateway::session_state;
using gateway::statement;
using gateway::statement_kind;

namespace {

statement query(const std::string& text) {
    const caller_message message = decode_caller_line("QUERY 5c0e " + text);
    BOOST_REQUIRE(std::holds_alternative<statement>(message));
    return std::get<statement>(message);
}

struct text_case {
    const char* m_text;
    statement_kind m_kind;
};

constexpr text_case texts[] = {
    {"BEGIN", statement_kind::begin},
    {"BEGIN READ", statement_kind::begin_read_only},
    {"BEGIN WRITE", statement_kind::malformed},
    {"COMMIT", statement_kind::commit},
    {"COMMIT now", statement_kind::malformed},
    {"ROLLBACK", statement_kind::rollback},
    {"READ 1a4", statement_kind::read},
    {"READ", statement_kind::malformed},
    {"WRITE 1a4 some data", statement_kind::write},
    {"SET zone x", statement_kind::set_value},
    {"PREPARE s1 WRITE q2c", statement_kind::prepare},
    {"PREPARE s1 BOTH q2c", statement_kind::malformed},
    {"EXECUTE s1 1a4 data", statement_kind::execute},
    {"DEALLOCATE s1", statement_kind::deallocate},
    {"AFTER 3.1 READ 1a4", statement_kind::malformed},
    {"RESET", statement_kind::malformed},
    {"PAUSE 9", statement_kind::malformed},
    {"DEMOTE 9", statement_kind::malformed},
    {"", statement_kind::malformed},
};

std::string encoded(const gateway::outgoing_statement& out) {
    return encode_statement(out);
}

}

BOOST_AUTO_TEST_CASE(statement_text_determines_the_kind) {
    for (const text_case& each : texts) {
        BOOST_TEST_CONTEXT(each.m_text) {
            BOOST_TEST((query(each.m_text).m_kind == each.m_kind));
        }
    }
}

BOOST_AUTO_TEST_CASE(prepare_and_execute_are_split_into_fields) {
    const statement prepared = query("PREPARE s1 WRITE q 2c");
    BOOST_TEST(prepared.m_name == "s1");
    BOOST_TEST(prepared.m_argument == "q 2c");
    BOOST_TEST(prepared.m_writes);
    const statement executed = query("EXECUTE s1 1a4 xk qp");
    BOOST_TEST(executed.m_name == "s1");
    BOOST_TEST(executed.m_argument == "1a4 xk qp");
    BOOST_TEST(executed.m_id == "5c0e");
}

BOOST_AUTO_TEST_CASE(start_and_terminate_are_decoded_and_other_lines_are_rejected) {
    BOOST_TEST(std::get<open_request>(decode_caller_line("START lepu270 u3f1")).m_database == "lepu270");
    BOOST_TEST(std::holds_alternative<bad_request>(decode_caller_line("START lepu270")));
    BOOST_TEST(std::holds_alternative<close_request>(decode_caller_line("TERMINATE")));
    BOOST_TEST(std::holds_alternative<bad_request>(decode_caller_line("HELLO")));
    BOOST_TEST(std::holds_alternative<bad_request>(decode_caller_line("QUERY")));
}

BOOST_AUTO_TEST_CASE(a_forwarded_session_carries_the_configuration_revision) {
    const std::string greeting = encode_forwarded_greeting("lepu270", 13);
    BOOST_TEST(greeting == "START lepu270 anvilmount/13\r\n");
    const auto opening = std::get<open_request>(decode_caller_line("START lepu270 anvilmount/13"));
    BOOST_TEST(*forwarded_revision(opening) == 13U);
    BOOST_TEST(!forwarded_revision({.m_database = "lepu270", .m_client_name = "u3f1"}).has_value());
    BOOST_TEST(encode_revision(14) == "REVISION 14\r\n");
    BOOST_TEST(*decode_revision("REVISION 14") == 14U);
    BOOST_TEST(!decode_revision("QUERY a READ 1").has_value());
}

BOOST_AUTO_TEST_CASE(statements_are_encoded_for_upstreams_with_their_text_unchanged) {
    using kind = gateway::outgoing_statement::kind;
    BOOST_TEST(encoded({.m_id = "5c", .m_text = "WRITE 1 a  b"}) == "QUERY 5c WRITE 1 a  b\r\n");
    BOOST_TEST(encoded({.m_id = "5c",
                        .m_text = "READ 1",
                        .m_min_position = log_position{.m_term = 3, .m_offset = 12}}) ==
               "QUERY 5c AFTER 3.12 READ 1\r\n");
    BOOST_TEST(
        encoded({.m_id = "5c", .m_text = "EXECUTE s1 1a4 d", .m_name = "a7", .m_argument = "1a4 d"}) ==
        "QUERY 5c EXECUTE a7 1a4 d\r\n");
    BOOST_TEST(encoded({.m_kind = kind::begin}) == "QUERY - BEGIN\r\n");
    BOOST_TEST(encoded({.m_kind = kind::demote, .m_term = 4}) == "QUERY - DEMOTE 4\r\n");
    BOOST_TEST(encoded({.m_kind = kind::prepare, .m_name = "a7", .m_argument = "q2c", .m_writes = true}) ==
               "QUERY - PREPARE a7 WRITE q2c\r\n");
    BOOST_TEST(encode_upstream_greeting({"huvo11a"}, {"i-7"}) == "START huvo11a anvilmount i-7\r\n");
}

BOOST_AUTO_TEST_CASE(an_answer_is_complete_at_its_ready_line) {
    answer_parser reader;
    BOOST_TEST(!reader.push_line("ROW one two").has_value());
    BOOST_TEST(!reader.push_line("COMPLETE 7.1f").has_value());
    const auto reply = reader.push_line("READY T 3.1209");
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->m_rows.at(0) == "one two");
    BOOST_TEST(*reply->m_proof == "7.1f");
    BOOST_TEST((reply->m_state == session_state::in_transaction));
    BOOST_TEST((reply->m_position == log_position{.m_term = 3, .m_offset = 1209}));
    BOOST_TEST(encode_answer(*reply) == "ROW one two\r\nCOMPLETE 7.1f\r\nREADY T 3.1209\r\n");
}

// Decoding an upstream's error and encoding it for the caller must yield the same word, since
// callers decide by it whether to retry.
BOOST_AUTO_TEST_CASE(error_words_survive_decoding_and_encoding) {
    for (const char* word : {"BUSY", "ABORTED", "LAGGING", "READONLY", "TOOMANY", "INDOUBT", "TIMEOUT",
                             "FAILED", "NOSTMT", "MALFORMED", "NODB"}) {
        answer_parser reader;
        BOOST_TEST(!reader.push_line("ERROR " + std::string(word) + " why so").has_value());
        const auto reply = reader.push_line("READY I -");
        BOOST_REQUIRE(reply.has_value());
        BOOST_TEST(!reply->succeeded());
        BOOST_TEST(encode_answer(*reply) == "ERROR " + std::string(word) + " why so\r\nREADY I -\r\n");
    }
}

// BUSY and the like promise that the statement did not run. If a code with an unknown outcome
// were encoded as one of them, a caller would retry a write that may have been executed.
BOOST_AUTO_TEST_CASE(codes_with_unknown_outcome_never_promise_that_nothing_ran) {
    for (int number = 1000; number < 2000; ++number) {
        const auto code = result_code_from_number(number);
        if (!code || traits_of(*code).m_outcome != outcome::unknown) {
            continue;
        }
        const std::string line = encode_session_refused(*code, "x");
        for (const char* not_run_word :
             {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}) {
            BOOST_TEST_CONTEXT(number) {
                BOOST_TEST(line.find(not_run_word) == std::string::npos);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_status_row_is_decoded_and_a_malformed_one_is_rejected) {
    const auto status = decode_status({.m_rows = {"replica 3 3.1209 0 12 2 17"}, .m_proof = "-"});
    BOOST_REQUIRE(status.has_value());
    BOOST_TEST(!status->m_is_primary);
    BOOST_TEST(status->m_term == 3U);
    BOOST_TEST(status->m_received_position.m_offset == 1209U);
    BOOST_TEST(status->m_lag.count() == 12);
    BOOST_TEST(!decode_status({.m_rows = {"leader 3 3.1209 0 12 2 17"}, .m_proof = "-"}).has_value());
    BOOST_TEST(!decode_status({.m_rows = {"replica 3"}, .m_proof = "-"}).has_value());
}

BOOST_AUTO_TEST_CASE(lines_are_the_same_for_any_segmentation_of_the_bytes) {
    const bool holds = rc::check("same lines", [] {
        const std::string bytes = "QUERY a READ 1\r\nTERMINATE\r\n";
        line_splitter splitter;
        std::vector<std::string> lines;
        for (std::size_t at = 0; at < bytes.size();) {
            const std::size_t size = *rc::gen::inRange<std::size_t>(1, 9);
            splitter.append(std::string_view(bytes).substr(at, size));
            at += size;
            while (const auto line = splitter.next()) {
                lines.push_back(*line);
            }
        }
        RC_ASSERT(lines == (std::vector<std::string>{"QUERY a READ 1", "TERMINATE"}));
    });
    BOOST_TEST(holds);
}

// A lone CR, LF or NUL inside a line could pass a second statement to an upstream that ends
// lines differently.
BOOST_AUTO_TEST_CASE(a_stray_control_character_marks_the_stream_malformed) {
    for (const std::string& bytes :
         {std::string("QUERY a READ 1\nQUERY b WRITE 2\r\n"), std::string("QUERY a\rREAD 1\r\n"),
          std::string("QUERY a READ \0 1\r\n", 19)}) {
        line_splitter splitter;
        splitter.append(bytes);
        BOOST_TEST(!splitter.next().has_value());
        BOOST_TEST(splitter.is_malformed());
    }
}

BOOST_AUTO_TEST_CASE(a_line_over_the_size_limit_marks_the_stream_malformed) {
    line_splitter splitter;
    splitter.append(std::string(line_splitter::max_line_bytes + 1, 'x'));
    BOOST_TEST(!splitter.next().has_value());
    BOOST_TEST(splitter.is_malformed());
}

/// The START of a forwarded session names the account, never the key, and none without accounts.
BOOST_AUTO_TEST_CASE(a_forwarded_greeting_names_revision_and_account) {
    BOOST_TEST(encode_forwarded_greeting("pay", 7) == "START pay anvilmount/7\r\n");
    BOOST_TEST(encode_forwarded_greeting("pay", 7, "acme") == "START pay anvilmount/7/acme\r\n");
    const auto opening = [](const std::string& who) {
        return open_request{.m_database = "pay", .m_client_name = who};
    };
    BOOST_TEST((forwarded_revision(opening("anvilmount/7/acme")) == 7U));
    BOOST_TEST(forwarded_account(opening("anvilmount/7/acme")) == "acme");
    BOOST_TEST(forwarded_account(opening("anvilmount/7/a/b")) == "a/b");
    BOOST_TEST(forwarded_account(opening("anvilmount/7")).empty());
    BOOST_TEST(!forwarded_revision(opening("anvilmount/x/acme")));
    BOOST_TEST(forwarded_account(opening("anvilmount/x/acme")).empty());
    BOOST_TEST(forwarded_account(opening("acme")).empty());
}

BOOST_AUTO_TEST_CASE(an_upstream_is_told_the_account_of_a_connection) {
    BOOST_TEST(encode_upstream_greeting({"orders"}, {"u1"}) == "START orders anvilmount u1\r\n");
    BOOST_TEST(encode_upstream_greeting({"orders"}, {"u1"}, "acme") == "START orders acme u1\r\n");
}

BOOST_AUTO_TEST_CASE(a_refused_statement_is_decoded_with_its_permit) {
    using gateway::statement_permit;
    for (const statement_permit permit : {statement_permit::unauthenticated, statement_permit::unconfirmed,
                                          statement_permit::account_changed}) {
        const std::string line = encode_refused_statement("q1", permit);
        const auto decoded = decode_refused_statement(std::string_view(line).substr(0, line.size() - 2));
        BOOST_REQUIRE(decoded);
        BOOST_TEST(decoded->m_id == "q1");
        BOOST_TEST((decoded->m_permit == permit));
    }
    const auto unknown = decode_refused_statement("REFUSED q1 LATER");
    BOOST_REQUIRE(unknown);
    BOOST_TEST((unknown->m_permit == statement_permit::unconfirmed));
    BOOST_TEST(!decode_refused_statement("QUERY q1 READ 1"));
}
