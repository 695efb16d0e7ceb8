/// \file limit_refusals.cpp
/// Connections that are closed for a limit: each statement that was read of them gets a complete answer.
#include "caller_connection.hpp"
#include "line_codec.hpp"
#include "support/event_loop.hpp"
#include "support/gateway_fleet.hpp"
#include "support/raw_peer.hpp"

#include "anvilmount/observe/metrics.hpp"

#include <boost/test/unit_test.hpp>

#include <sys/socket.h>

#include <memory>
#include <string>

using namespace anvilmount;
using namespace std::chrono_literals;
using line_protocol::caller_limits;
using test::raw_peer;

namespace {

constexpr std::size_t memory_budget = std::size_t{20} << 10U;

/// Statements of this length exceed the budget together, and none alone.
constexpr std::size_t statement_size = std::size_t{8} << 10U;

std::ptrdiff_t count(const std::string& text, const std::string& word) {
    std::ptrdiff_t found = 0;
    for (std::size_t at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) {
        ++found;
    }
    return found;
}

/// Returns `word` with an argument, which is so long that four of these statements exceed the budget.
std::string long_statement(const std::string& word) {
    return "QUERY long " + word + " " + std::string(statement_size, 'x') + "\r\n";
}

/// An instance in virtual time whose limits are those of a very small machine.
struct limited_instance {
    test::event_loop m_loop;
    test::gateway_fleet m_fleet{1};
    metrics m_counters;
    std::shared_ptr<caller_limits> m_limits;
    raw_peer m_peer;

    explicit limited_instance(std::size_t budget = memory_budget)
        : m_limits(std::make_shared<caller_limits>(
              m_loop.m_loop, line_protocol::caller_limit_options{.m_memory_budget = budget}, m_counters)) {}

    void serve_caller() {
        line_protocol::serve_caller(m_loop.m_loop, m_peer.served_end(), m_fleet.instance(1), m_limits);
        exchange("START pay caller\r\n");
    }

    void serve_forwarded() {
        line_protocol::serve_forwarded_caller(m_loop.m_loop, m_peer.served_end(), m_fleet.instance(1),
                                              m_limits);
        exchange(line_protocol::encode_forwarded_greeting("pay", 1));
    }

    std::string exchange(const std::string& text) { return m_peer.exchange(text, m_fleet); }
};

}

BOOST_AUTO_TEST_CASE(statements_read_ahead_of_a_caller_that_is_closed_for_memory_are_refused) {
    limited_instance served;
    served.serve_caller();
    const std::string answers =
        served.exchange(long_statement("WRITE 1") + long_statement("READ") + long_statement("WRITE 2") +
                        long_statement("READ") + "QUERY last READ 1\r\n");
    BOOST_TEST(served.m_counters.to_json().at("counters").at("callers_closed_for_memory") == 1);
    BOOST_TEST(answers.starts_with("ERROR INDOUBT "));
    BOOST_TEST(count(answers, "READY I") == 5);
    // The last one announces the end of the session.
    BOOST_TEST(count(answers, "ERROR BUSY ") == 5);
    BOOST_TEST(served.m_fleet.m_upstreams.m_runs.size() == 1);
}

BOOST_AUTO_TEST_CASE(statements_read_ahead_of_a_forwarded_session_that_is_closed_for_memory_are_refused) {
    limited_instance served;
    served.serve_forwarded();
    const std::string answers = served.exchange(
        long_statement("WRITE 1") + line_protocol::encode_revision(1) + long_statement("READ") +
        line_protocol::encode_refused_statement("refused", gateway::statement_permit::unconfirmed) +
        long_statement("WRITE 2") + long_statement("READ"));
    BOOST_TEST(count(answers, "READY I") == 5);
    BOOST_TEST(count(answers, "ERROR BUSY ") == 5);
    BOOST_TEST(served.m_fleet.m_upstreams.m_runs.size() == 1);
}

BOOST_AUTO_TEST_CASE(statements_read_ahead_in_a_transaction_that_is_closed_for_memory_are_refused_as_lost) {
    limited_instance served;
    served.serve_caller();
    (void)served.exchange("QUERY begin BEGIN\r\n");
    (void)served.exchange("QUERY write WRITE 1 a\r\n");
    const std::string answers =
        served.exchange(long_statement("WRITE 1") + long_statement("READ") + long_statement("WRITE 2") +
                        long_statement("READ") + "QUERY commit COMMIT\r\n");
    BOOST_TEST(count(answers, "READY ") == 5);
    BOOST_TEST(count(answers, "ERROR ABORTED ") == 6);
    BOOST_TEST(count(answers, "ERROR ") == 6);
}

BOOST_AUTO_TEST_CASE(refusals_that_wait_for_a_caller_to_read_take_less_than_what_it_is_closed_for) {
    constexpr std::size_t less_than_is_read_at_once = std::size_t{60} << 10U;
    limited_instance served(less_than_is_read_at_once);
    const int small = 4096;
    setsockopt(served.m_peer.served_end(), SOL_SOCKET, SO_SNDBUF, &small, sizeof small);
    served.serve_caller();
    std::string statements = long_statement("WRITE 1") + long_statement("READ") + long_statement("READ");
    for (int number = 0; number < 4500; ++number) {
        statements += "QUERY q READ 1\r\n";
    }
    served.m_peer.write(statements);
    // Later calls read what was sent after the call before had made room.
    std::string answers;
    for (std::size_t before = 1; before != answers.size();) {
        before = answers.size();
        answers = served.m_peer.received();
    }
    BOOST_TEST(served.m_counters.to_json().at("counters").at("callers_closed_for_memory") == 1);
    BOOST_TEST(count(answers, "READY I") > 400);
    BOOST_TEST(answers.size() < less_than_is_read_at_once);
}
