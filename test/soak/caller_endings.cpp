/// \file caller_endings.cpp
/// Guards against callers of the soak that miss an unanswered statement, or that take the announced end of
/// a session for something else.
#include "soak/soak_caller.hpp"
#include "support/event_loop.hpp"

#include "anvilmount/wire/tcp_listener.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

using namespace anvilmount;
using anvilmount::test::event_loop;

namespace {

/// A caller on connections that a test serves: READY to START, `answer` to the first statement, and to
/// later ones, which cross the end that the answer has announced, what is left of a refusal.
struct served_caller {
    event_loop m_loop;
    std::string m_answer;
    bool m_closes{false}; ///< After the answer.
    std::string m_greeting{"READY I -\r\n"};
    bool m_resets{false}; ///< In place of the greeting.
    /// Set: the caller shuts down its sending direction after its first operation, of which so many
    /// statements get `answer`.
    std::optional<int> m_answered_before_close;
    int m_statements{0};
    int m_answers{0};
    int m_connections{0};
    int m_crossings{0};
    std::set<std::size_t> m_served; ///< Connections that had a statement.
    std::map<std::size_t, int> m_answered_at;
    std::vector<std::string> m_unanswered;
    std::vector<::test::ended_start> m_ended_starts;
    std::mt19937 m_random{1};
    ::test::promise_ledger m_ledger{
        [](const std::string&) { return std::string("a"); },
        [this](const std::string&) -> const standin::line_log& { return m_log; }};
    standin::line_log m_log;
    std::vector<std::shared_ptr<tcp_stream>> m_streams;
    std::unique_ptr<tcp_listener> m_listener;
    ::test::soak_environment m_environment{
        .m_loop = m_loop.m_loop,
        .m_ledger = m_ledger,
        .m_random = m_random,
        .m_pick_instance =
            [this] {
                return std::optional(
                    ::test::soak_environment::instance{.m_callers = m_listener->address()});
            },
        .m_on_closed_unanswered = [this](const auto&,
                                         const std::string& id) { m_unanswered.push_back(id); },
        .m_on_start_ended = [this](const auto&, const auto& what) { m_ended_starts.push_back(what); },
        .m_may_be_delayed = [](steady_time) { return false; }};
    ::test::soak_caller m_caller{m_environment, {.m_database = "pay", .m_group = "g"}};

    explicit served_caller(std::string answer, bool closes = false)
        : m_answer(std::move(answer)), m_closes(closes) {
        auto listener = tcp_listener::listen(m_loop.m_loop, {.m_address = "127.0.0.1", .m_port = 0},
                                             [this](int fd) { accept(fd); });
        m_listener = std::move(listener.value());
        m_caller.start();
    }

    ~served_caller() { m_caller.stop(); }
    served_caller(const served_caller&) = delete;
    served_caller& operator=(const served_caller&) = delete;

    void accept(int fd) {
        ++m_connections;
        m_streams.push_back(
            tcp_stream::adopt(m_loop.m_loop, fd,
                              {.m_on_bytes = [this, number = m_streams.size()](
                                                 std::string_view bytes) { serve(number, bytes); },
                               .m_on_closed = [](close_reason) {}}));
    }

    void serve(std::size_t number, std::string_view bytes) {
        if (bytes.starts_with("START ")) {
            m_streams[number]->write(m_resets ? "" : m_greeting);
            if (m_resets) {
                m_streams[number]->reset();
            } else if (m_closes && m_greeting.starts_with("ERROR ")) {
                m_streams[number]->close_after_flush();
            }
            return;
        }
        if (m_answered_before_close) {
            answer_some(number, static_cast<int>(std::count(bytes.begin(), bytes.end(), '\n')));
            return;
        }
        const bool is_first = m_served.insert(number).second;
        m_crossings += is_first ? 0 : 1;
        m_streams[number]->write(is_first ? m_answer : "READY I -\r\nERROR BUSY leaving\r\n");
        if (m_closes) {
            m_streams[number]->close_after_flush();
        }
    }

    void answer_some(std::size_t number, int received) {
        const int answers =
            std::min(received, std::max(0, *m_answered_before_close - m_answered_at[number]));
        for (int count = 0; count < answers; ++count) {
            m_streams[number]->write(m_answer);
        }
        m_statements += received;
        m_answers += answers;
        m_answered_at[number] += answers;
    }

    void run_until_connected(int times) {
        m_loop.run_until([&] { return m_connections >= times; });
    }
};

}

BOOST_AUTO_TEST_CASE(an_announced_end_that_a_statement_has_crossed_is_its_answer_once_ready_follows) {
    served_caller all("ERROR BUSY leaving\r\nREADY I -\r\nERROR BUSY leaving\r\n");
    all.m_loop.run_until([&] { return all.m_crossings >= 3; });
    all.run_until_connected(all.m_connections + 1);
    BOOST_TEST(all.m_unanswered.empty());
    BOOST_TEST(all.m_ledger.violations().empty());
}

BOOST_AUTO_TEST_CASE(a_connection_that_closes_before_ready_leaves_its_statement_unanswered) {
    for (const std::string answer : {"", "ERROR BUSY leaving\r\n", "ROW 1\r\n"}) {
        served_caller all(answer, true);
        all.run_until_connected(3);
        BOOST_TEST(all.m_unanswered.size() == 2U);
        BOOST_TEST(all.m_ledger.violations().empty());
    }
}

BOOST_AUTO_TEST_CASE(an_answer_that_lacks_its_result_is_reported) {
    served_caller all("READY I -\r\n");
    all.m_loop.run_until([&] { return !all.m_ledger.violations().empty(); });
    BOOST_TEST(all.m_ledger.violations().front().starts_with("answered with no result"));
}

BOOST_AUTO_TEST_CASE(a_caller_that_ends_its_sending_misses_each_answer_that_it_does_not_get) {
    constexpr int no_limit = 100;
    for (const int answered : {no_limit, 1, 0}) {
        served_caller all("ERROR BUSY later\r\nREADY I -\r\n");
        all.m_environment.m_half_close_percent = 100;
        all.m_answered_before_close = answered;
        // Connections of one statement and of whole transactions.
        all.run_until_connected(9);
        BOOST_TEST(all.m_environment.m_half_closes >= 8U);
        BOOST_TEST(all.m_statements > 8);
        BOOST_TEST(all.m_unanswered.size() == static_cast<std::size_t>(all.m_statements - all.m_answers));
        BOOST_TEST(all.m_unanswered.empty() == (answered == no_limit));
        BOOST_TEST(all.m_ledger.violations().empty());
    }
}

BOOST_AUTO_TEST_CASE(a_start_that_ends_without_ready_is_told_apart_by_its_line_and_by_how_it_ends) {
    served_caller refused("", true);
    refused.m_greeting = "ERROR BUSY leaving\r\n";
    refused.run_until_connected(2);
    BOOST_REQUIRE(refused.m_ended_starts.size() == 1U);
    BOOST_TEST(refused.m_ended_starts.front().m_was_answered);
    BOOST_TEST(!refused.m_ended_starts.front().m_was_reset);
    BOOST_TEST(refused.m_ledger.violations().empty());

    served_caller reset("");
    reset.m_resets = true;
    reset.run_until_connected(2);
    BOOST_REQUIRE(reset.m_ended_starts.size() == 1U);
    BOOST_TEST(!reset.m_ended_starts.front().m_was_answered);
    BOOST_TEST(reset.m_ended_starts.front().m_was_reset);
    BOOST_TEST(reset.m_ended_starts.front().m_connected_at.has_value());

    served_caller twice("");
    twice.m_greeting = "ERROR BUSY leaving\r\nERROR BUSY leaving\r\n";
    twice.run_until_connected(2);
    BOOST_TEST(!twice.m_ledger.violations().empty());
}
