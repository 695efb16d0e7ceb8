/// \file session_endings.cpp
/// Sessions that an instance ends while a statement of the caller is on its way, waits or runs: each
/// statement that an instance has read gets a complete answer, and "not run" is true.
#include "caller_connection.hpp"
#include "line_codec.hpp"
#include "support/event_loop.hpp"
#include "support/gateway_fleet.hpp"
#include "support/raw_peer.hpp"
#include "support/unlimited_callers.hpp"

#include "anvilmount/observe/metrics.hpp"
#include "anvilmount/wire/tcp_listener.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <functional>
#include <memory>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace anvilmount;
using namespace std::chrono_literals;
using test::raw_peer;

namespace {

constexpr milliseconds grace{6000};

/// Returns the lines of `text` that complete an answer, or open the session.
std::ptrdiff_t ready_lines(const std::string& text) {
    std::ptrdiff_t count = 0;
    for (std::size_t at = text.find("READY "); at != std::string::npos; at = text.find("READY ", at + 1)) {
        ++count;
    }
    return count;
}

/// An instance in virtual time that serves one connection, on which a first statement was answered.
struct served_connection {
    test::event_loop m_loop;
    test::gateway_fleet m_fleet{1};
    raw_peer m_peer;

    void run_for(milliseconds time) {
        (void)m_peer.received();
        m_fleet.run_for(time);
    }

    /// Runs until so many statements that were sent at once are served one after the other.
    void run_statements(int count) {
        for (; count > 0; --count) {
            run_for(200ms);
        }
        (void)m_peer.received();
    }

    void serve_caller() {
        line_protocol::serve_caller(m_loop.m_loop, m_peer.served_end(), m_fleet.instance(1),
                                    test::unlimited_callers(m_loop));
        m_peer.write("START pay caller\r\n");
        complete_first_statement();
    }

    void serve_forwarded() {
        line_protocol::serve_forwarded_caller(m_loop.m_loop, m_peer.served_end(), m_fleet.instance(1),
                                              test::unlimited_callers(m_loop));
        m_peer.write(line_protocol::encode_forwarded_greeting("pay", 1));
        complete_first_statement();
    }

    void complete_first_statement() {
        m_peer.write("QUERY first READ 1\r\n");
        run_for(100ms);
        BOOST_REQUIRE(ready_lines(m_peer.received()) == 2);
    }
};

/// An instance that forwards its callers to a peer which the test plays.
struct forwarding_instance {
    test::event_loop m_loop;
    test::gateway_fleet m_fleet{12, 1, test::test_address(0)};
    std::vector<std::unique_ptr<tcp_listener>> m_listeners;
    std::vector<std::shared_ptr<tcp_stream>> m_streams;
    std::string m_forwarded; ///< What the serving instance received.
    raw_peer m_caller;
    metrics m_counters;
    std::shared_ptr<line_protocol::caller_limits> m_limits;

    /// `reply` is called with the newest stream whenever bytes were forwarded.
    explicit forwarding_instance(std::function<void(forwarding_instance&, tcp_stream&)> reply,
                                 const line_protocol::caller_limit_options& options = {})
        : m_limits(std::make_shared<line_protocol::caller_limits>(m_loop.m_loop, options, m_counters)) {
        int forwarding = 0;
        for (int number = 1; number <= 12; ++number) {
            auto listener =
                tcp_listener::listen(m_loop.m_loop, test::test_address(number), [this, reply](int fd) {
                    m_streams.push_back(tcp_stream::adopt(m_loop.m_loop, fd,
                                                          {.m_on_bytes =
                                                               [this, reply](std::string_view bytes) {
                                                                   m_forwarded.append(bytes);
                                                                   reply(*this, *m_streams.back());
                                                               },
                                                           .m_on_closed = [](close_reason) {}}));
                });
            m_listeners.push_back(std::move(listener.value()));
            if (m_fleet.instance(number).forwarding_target("pay")) {
                forwarding = number;
            }
        }
        BOOST_REQUIRE(forwarding > 0);
        line_protocol::serve_caller(m_loop.m_loop, m_caller.served_end(), m_fleet.instance(forwarding),
                                    m_limits);
        m_caller.write("START pay caller\r\n");
        run_until_ready(1);
    }

    /// Runs until the caller has received so many READY lines, or its connection was closed.
    void run_until_ready(std::ptrdiff_t count) {
        m_loop.run_until([&] { return ready_lines(m_caller.received()) >= count || m_caller.is_closed(); });
    }
};

/// A caller that has connected to `where` and sent START.
class waiting_caller {
public:
    explicit waiting_caller(const endpoint& where, const std::string& start = "START pay caller\r\n") {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(where.m_port);
        inet_pton(AF_INET, where.m_address.c_str(), &address.sin_addr);
        BOOST_REQUIRE(connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        BOOST_REQUIRE(send(m_fd, start.data(), start.size(), 0) == static_cast<ssize_t>(start.size()));
    }
    ~waiting_caller() { close(m_fd); }
    waiting_caller(const waiting_caller&) = delete;
    waiting_caller& operator=(const waiting_caller&) = delete;

    /// Runs until `size` bytes were received. A caller that closes with bytes unread resets its connection.
    void receive(std::size_t size) {
        std::string bytes(size, '\0');
        while (recv(m_fd, bytes.data(), size, MSG_PEEK | MSG_DONTWAIT) < static_cast<ssize_t>(size)) {
            QCoreApplication::processEvents(QEventLoop::AllEvents);
        }
        BOOST_REQUIRE(recv(m_fd, bytes.data(), size, 0) == static_cast<ssize_t>(size));
    }

    /// Runs until the connection ends; returns what was received, and "reset" if it was reset.
    std::string received_to_end() {
        std::array<char, 4096> chunk{};
        std::string text;
        for (;;) {
            QCoreApplication::processEvents(QEventLoop::AllEvents);
            const ssize_t size = recv(m_fd, chunk.data(), chunk.size(), MSG_DONTWAIT);
            if (size > 0) {
                text.append(chunk.data(), static_cast<std::size_t>(size));
            } else if (size == 0) {
                return text;
            } else if (errno != EAGAIN) {
                return text + "reset";
            }
        }
    }

private:
    int m_fd{socket(AF_INET, SOCK_STREAM, 0)};
};

/// Answers START, and each of the statements before `last`; then closes without an answer.
std::function<void(forwarding_instance&, tcp_stream&)> closes_at(const std::string& last) {
    return [last](forwarding_instance& site, tcp_stream& stream) {
        if (site.m_forwarded.find(last) != std::string::npos) {
            stream.close();
        } else if (site.m_forwarded.find("QUERY") == std::string::npos) {
            stream.write("READY I -\r\n");
        } else {
            stream.write("COMPLETE -\r\nREADY T -\r\n");
        }
    };
}

/// A caller of the fleet whose statements may take longer than the grace period.
void allow_long_statements(test::gateway_fleet& fleet) {
    fleet.m_configuration.m_revision = 2;
    fleet.m_configuration.m_routes["pay"].m_class.m_deadline = 60000ms;
    fleet.m_configuration.m_routes["pay"].m_latency_target = 50000ms;
    fleet.instance(1).adopt_configuration(fleet.m_configuration);
}

}

BOOST_AUTO_TEST_CASE(a_statement_that_crosses_the_end_of_its_session_at_a_leaving_instance_is_answered) {
    served_connection served;
    served.serve_caller();
    served.m_fleet.instance(1).leave(grace, [] {});
    served.m_peer.write("QUERY crossing WRITE 1 a\r\n");
    served.run_for(100ms);
    BOOST_TEST(ready_lines(served.m_peer.received()) == 3);
    BOOST_TEST(served.m_peer.received().find("ERROR BUSY") != std::string::npos);
    BOOST_TEST(served.m_fleet.m_upstreams.m_runs.size() == 1);
}

BOOST_AUTO_TEST_CASE(each_of_many_statements_that_cross_the_end_of_their_session_is_answered) {
    served_connection served;
    served.serve_caller();
    served.m_fleet.instance(1).leave(grace, [] {});
    constexpr int count = 60;
    for (int number = 0; number < count; ++number) {
        served.m_peer.write("QUERY q" + std::to_string(number) + " WRITE 1 a\r\n");
    }
    served.run_for(100ms);
    BOOST_TEST(ready_lines(served.m_peer.received()) == 2 + count);
    BOOST_TEST(served.m_fleet.m_upstreams.m_runs.size() == 1);
}

BOOST_AUTO_TEST_CASE(a_statement_that_crosses_the_end_of_its_forwarded_session_is_answered) {
    served_connection served;
    served.serve_forwarded();
    served.m_fleet.instance(1).leave(grace, [] {});
    served.m_peer.write("QUERY crossing WRITE 1 a\r\n");
    served.run_for(100ms);
    BOOST_TEST(ready_lines(served.m_peer.received()) == 3);
    BOOST_TEST(served.m_peer.received().find("ERROR BUSY") != std::string::npos);
    BOOST_TEST(served.m_fleet.m_upstreams.m_runs.size() == 1);
}

BOOST_AUTO_TEST_CASE(a_statement_after_one_that_was_refused_for_an_old_configuration_is_answered) {
    served_connection served;
    served.serve_forwarded();
    served.m_peer.write(line_protocol::encode_revision(2) + "QUERY refused READ 1\r\n");
    (void)served.m_peer.received();
    served.m_peer.write("QUERY next READ 1\r\n");
    served.run_for(100ms);
    BOOST_TEST(ready_lines(served.m_peer.received()) == 4);
}

BOOST_AUTO_TEST_CASE(a_statement_that_crosses_the_end_of_an_abandoned_transaction_is_answered) {
    served_connection served;
    served.serve_caller();
    served.m_peer.write("QUERY begin BEGIN\r\n");
    served.run_for(100ms);
    served.m_peer.write("QUERY write WRITE 1 a\r\n");
    served.run_for(100ms);
    served.m_fleet.instance(1).leave(grace, [] {});
    served.run_for(4000ms);
    served.m_peer.write("QUERY commit COMMIT\r\n");
    served.run_for(100ms);
    BOOST_TEST(ready_lines(served.m_peer.received()) == 5);
    BOOST_TEST_CONTEXT(served.m_peer.received()) {
        BOOST_TEST(served.m_peer.received().find("ERROR ABORTED") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(the_end_of_a_session_whose_transaction_is_cut_short_says_that_it_was_rolled_back) {
    served_connection served;
    served.serve_caller();
    allow_long_statements(served.m_fleet);
    served.m_peer.write("QUERY begin BEGIN\r\n");
    served.run_for(100ms);
    served.m_fleet.m_upstreams.at("orders-1").m_work_time = 60000ms;
    served.m_peer.write("QUERY write WRITE 1 a\r\n");
    served.run_for(100ms);
    served.m_fleet.instance(1).leave(grace, [] {});
    served.run_for(grace);
    const std::string received = served.m_peer.received();
    const std::string announcement = received.substr(received.rfind("ERROR"));
    BOOST_TEST(announcement.starts_with("ERROR ABORTED"));
}

BOOST_AUTO_TEST_CASE(statements_that_wait_or_run_when_the_grace_period_ends_are_answered) {
    test::gateway_fleet fleet(1);
    allow_long_statements(fleet);
    std::vector<std::unique_ptr<test::test_caller>> callers;
    for (int number = 0; number < 10; ++number) {
        callers.push_back(std::make_unique<test::test_caller>(fleet.instance(1), "pay"));
    }
    fleet.m_upstreams.at("orders-1").m_work_time = 60000ms;
    for (const auto& caller : callers) {
        caller->send(gateway::statement_kind::write, "WRITE 1 a");
    }
    fleet.run_for(100ms);
    fleet.instance(1).leave(grace, [] {});
    fleet.run_for(grace);
    int in_doubt = 0;
    int not_run = 0;
    for (const auto& caller : callers) {
        BOOST_REQUIRE(caller->m_answers.size() == 1);
        in_doubt += caller->m_answers[0].m_code == result_code::outcome_unknown ? 1 : 0;
        not_run += traits_of(caller->m_answers[0].m_code).m_outcome == outcome::not_run ? 1 : 0;
    }
    BOOST_TEST(in_doubt > 0);
    BOOST_TEST(not_run > 0);
    BOOST_TEST(in_doubt + not_run == 10);
}

BOOST_AUTO_TEST_CASE(a_statement_that_crosses_the_end_announced_by_the_serving_instance_is_answered_once) {
    forwarding_instance site(
        [](forwarding_instance&, tcp_stream& stream) { stream.write("READY I -\r\n"); });
    site.m_streams.back()->write("ERROR BUSY leaving\r\n");
    site.m_loop.run_until([&] { return site.m_caller.received().find("ERROR") != std::string::npos; });
    site.m_caller.write("QUERY crossing WRITE 1 a\r\n");
    site.run_until_ready(2);
    BOOST_TEST(site.m_caller.received() ==
               "READY I -\r\nERROR BUSY leaving\r\nREADY I -\r\nERROR BUSY leaving\r\n");
    BOOST_TEST(site.m_forwarded.find("QUERY") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_statement_that_was_forwarded_before_the_end_was_announced_is_answered_once) {
    forwarding_instance site([](forwarding_instance& at, tcp_stream& stream) {
        stream.write(at.m_forwarded.find("QUERY") == std::string::npos
                         ? "READY I -\r\n"
                         : "ERROR BUSY leaving\r\nREADY I -\r\nERROR BUSY leaving\r\n");
    });
    site.m_caller.write("QUERY crossing WRITE 1 a\r\n");
    site.run_until_ready(2);
    BOOST_TEST(site.m_caller.received() ==
               "READY I -\r\nERROR BUSY leaving\r\nREADY I -\r\nERROR BUSY leaving\r\n");
}

BOOST_AUTO_TEST_CASE(a_refusal_that_is_cut_off_before_its_end_is_not_taken_for_true) {
    forwarding_instance site([](forwarding_instance& at, tcp_stream& stream) {
        if (at.m_forwarded.find("QUERY") == std::string::npos) {
            stream.write("READY I -\r\n");
        } else {
            stream.write("ERROR BUSY a limit of callers was exceeded\r\n");
            stream.close_after_flush();
        }
    });
    site.m_caller.write("QUERY last WRITE 1 a\r\n");
    site.run_until_ready(2);
    BOOST_TEST(site.m_caller.received().starts_with("READY I -\r\nERROR INDOUBT"));
}

BOOST_AUTO_TEST_CASE(a_forwarded_session_that_is_refused_is_closed_with_one_error) {
    forwarding_instance site([](forwarding_instance&, tcp_stream& stream) {
        stream.write("ERROR NODB no such database\r\n");
        stream.close_after_flush();
    });
    BOOST_TEST(site.m_caller.received() == "ERROR NODB no such database\r\n");
    BOOST_TEST(site.m_caller.is_closed());
}

BOOST_AUTO_TEST_CASE(a_session_that_another_instance_has_no_room_for_is_served_here) {
    forwarding_instance site([](forwarding_instance&, tcp_stream& stream) {
        stream.write("ERROR TOOMANY too many callers\r\n");
        stream.close_after_flush();
    });
    BOOST_TEST(site.m_caller.received() == "READY I -\r\n");
}

BOOST_AUTO_TEST_CASE(a_statement_sent_ahead_is_served_when_no_instance_accepts_its_session) {
    test::event_loop loop;
    test::gateway_fleet fleet(12, 1, test::test_address(20));
    int forwarding = 1;
    while (!fleet.instance(forwarding).forwarding_target("pay")) {
        ++forwarding;
    }
    raw_peer caller;
    line_protocol::serve_caller(loop.m_loop, caller.served_end(), fleet.instance(forwarding),
                                test::unlimited_callers(loop));
    caller.write("START pay caller\r\nQUERY ahead READ 1\r\n");
    loop.run_until([&] { return ready_lines(caller.received()) == 1; });
    fleet.run_for(100ms);
    BOOST_TEST(ready_lines(caller.received()) == 2);
}

BOOST_AUTO_TEST_CASE(statements_that_wait_to_be_forwarded_when_a_limit_closes_their_caller_are_refused) {
    constexpr int forwarded = 64;
    constexpr int waiting = 5;
    forwarding_instance site(
        [](forwarding_instance& at, tcp_stream& stream) {
            if (at.m_forwarded.find("QUERY") == std::string::npos) {
                stream.write("READY I -\r\n");
            }
        },
        {.m_memory_budget = std::size_t{32} << 10U});
    std::string statements;
    for (int number = 0; number < forwarded; ++number) {
        statements += "QUERY forwarded READ 1\r\n";
    }
    for (int number = 0; number < waiting; ++number) {
        statements += "QUERY waiting WRITE 1 " + std::string(std::size_t{8} << 10U, 'x') + "\r\n";
    }
    site.m_caller.write(statements);
    site.run_until_ready(1 + forwarded + waiting);
    BOOST_TEST(ready_lines(site.m_caller.received()) == 1 + forwarded + waiting);
    BOOST_TEST(site.m_forwarded.find("waiting") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_caller_that_ends_its_forwarded_session_gets_no_error) {
    forwarding_instance site(
        [](forwarding_instance&, tcp_stream& stream) { stream.write("READY I -\r\n"); });
    site.m_caller.write("TERMINATE\r\n");
    site.m_loop.run_until([&] {
        (void)site.m_caller.received();
        return site.m_caller.is_closed();
    });
    BOOST_TEST(site.m_caller.received() == "READY I -\r\n");
}

BOOST_AUTO_TEST_CASE(a_statement_without_answer_is_answered_when_its_serving_instance_ends_the_session) {
    struct {
        std::vector<std::string> m_before;
        std::string m_last;
        std::string m_expected;
    } const cases[] = {
        {{}, "QUERY last READ 1", "ERROR ABORTED"},
        {{}, "QUERY last WRITE 1 a", "ERROR INDOUBT"},
        {{}, "QUERY last EXECUTE s1 1 a", "ERROR INDOUBT"},
        {{"QUERY begin BEGIN"}, "QUERY last WRITE 1 a", "ERROR ABORTED"},
        {{"QUERY begin BEGIN"}, "QUERY back ROLLBACK\r\nQUERY last WRITE 1 a", "ERROR INDOUBT"},
        {{"QUERY begin BEGIN", "QUERY write WRITE 1 a"}, "QUERY last COMMIT", "ERROR INDOUBT"},
    };
    for (const auto& each : cases) {
        forwarding_instance site(closes_at(each.m_last));
        std::ptrdiff_t answers = 1;
        for (const std::string& statement : each.m_before) {
            site.m_caller.write(statement + "\r\n");
            site.run_until_ready(++answers);
        }
        site.m_caller.write(each.m_last + "\r\n");
        answers += 1 + std::count(each.m_last.begin(), each.m_last.end(), '\n');
        site.run_until_ready(answers);
        BOOST_TEST_CONTEXT(each.m_last) {
            BOOST_TEST(ready_lines(site.m_caller.received()) == answers);
            BOOST_TEST(site.m_caller.received().find(each.m_expected) != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_caller_that_has_closed_its_sending_direction_gets_its_answers) {
    struct {
        const char* m_sent;
        std::ptrdiff_t m_answers;
        std::size_t m_runs;
    } const cases[] = {
        {"QUERY last WRITE 1 a\r\n", 1, 1},
        {"QUERY one READ 1\r\nQUERY two READ 2\r\n", 2, 2},
        {"QUERY begin BEGIN\r\nQUERY write WRITE 1 a\r\nQUERY commit COMMIT\r\n", 3, 2},
        {"QUERY begin BEGIN\r\nQUERY write WRITE 1 a\r\n", 2, 1},
        {"QUERY last READ 1\r\nQUERY incomplete WRI", 1, 1},
    };
    for (const auto& each : cases) {
        BOOST_TEST_CONTEXT(each.m_sent) {
            served_connection served;
            served.serve_caller();
            served.m_peer.write(each.m_sent);
            served.m_peer.end_writing();
            served.run_statements(3);
            BOOST_TEST(ready_lines(served.m_peer.received()) == 2 + each.m_answers);
            BOOST_TEST(served.m_peer.is_closed());
            BOOST_TEST(served.m_fleet.m_upstreams.m_runs.size() == 1 + each.m_runs);
        }
    }
}

BOOST_AUTO_TEST_CASE(
    a_caller_that_has_closed_its_sending_direction_gets_the_answers_of_a_forwarded_session) {
    forwarding_instance site([](forwarding_instance& at, tcp_stream& stream) {
        if (at.m_forwarded.find("QUERY") == std::string::npos) {
            stream.write("READY I -\r\n");
        }
    });
    site.m_caller.write("QUERY last WRITE 1 a\r\n");
    site.m_caller.end_writing();
    site.m_loop.run_until([&] {
        (void)site.m_caller.received();
        return site.m_forwarded.find("QUERY last") != std::string::npos;
    });
    (void)site.m_caller.received();
    site.m_streams.back()->write("COMPLETE proof\r\nREADY I 1.2\r\n");
    site.run_until_ready(2);
    BOOST_TEST(site.m_caller.received() == "READY I -\r\nCOMPLETE proof\r\nREADY I 1.2\r\n");
    BOOST_TEST(site.m_caller.is_closed());
}

BOOST_AUTO_TEST_CASE(
    a_caller_that_has_closed_its_sending_direction_before_its_session_opened_gets_its_answer) {
    served_connection served;
    line_protocol::serve_caller(served.m_loop.m_loop, served.m_peer.served_end(),
                                served.m_fleet.instance(1), test::unlimited_callers(served.m_loop));
    served.m_peer.write("START pay caller\r\nQUERY last READ 1\r\n");
    served.m_peer.end_writing();
    served.run_statements(1);
    BOOST_TEST(ready_lines(served.m_peer.received()) == 2);
    BOOST_TEST(served.m_peer.is_closed());
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_with_nothing_outstanding_is_disconnected_at_once) {
    for (const char* const before :
         {"QUERY begin BEGIN\r\nQUERY write WRITE 1 a\r\n", "QUERY read READ 1\r\n"}) {
        served_connection served;
        served.serve_caller();
        served.m_peer.write(before);
        served.run_statements(2);
        served.m_peer.end_writing();
        (void)served.m_peer.received();
        BOOST_TEST(served.m_peer.is_closed());
        BOOST_TEST(served.m_fleet.instance(1).state_dump().at("sessions") == 0);
    }
}

BOOST_AUTO_TEST_CASE(a_connection_that_waits_to_be_accepted_when_its_port_closes_is_told_why) {
    served_connection served;
    auto listener = tcp_listener::listen(served.m_loop.m_loop, test::test_address(40), [&](int fd) {
        line_protocol::serve_caller(served.m_loop.m_loop, fd, served.m_fleet.instance(1),
                                    test::unlimited_callers(served.m_loop));
    });
    served.m_fleet.instance(1).leave(grace, [] {});
    served.run_for(grace);
    waiting_caller caller(test::test_address(40));
    listener.value()->accept_waiting();
    listener.value().reset();
    BOOST_TEST(caller.received_to_end().starts_with("ERROR BUSY"));
}

BOOST_AUTO_TEST_CASE(a_statement_that_arrives_before_the_last_look_of_an_exiting_process_is_refused) {
    served_connection served;
    const auto limits = test::unlimited_callers(served.m_loop);
    line_protocol::serve_caller(served.m_loop.m_loop, served.m_peer.served_end(),
                                served.m_fleet.instance(1), limits);
    served.m_peer.write("START pay caller\r\n");
    served.complete_first_statement();
    served.m_fleet.instance(1).leave(grace, [] {});
    served.run_for(grace);
    BOOST_REQUIRE(served.m_peer.received().find("ERROR") != std::string::npos);
    served.m_peer.write("QUERY late WRITE 1 a\r\n");
    BOOST_TEST(limits->close_for_exit() == 1);
    BOOST_TEST(ready_lines(served.m_peer.received()) == 3);
    BOOST_TEST(served.m_peer.is_closed());
}

BOOST_AUTO_TEST_CASE(a_caller_that_is_gone_is_forgotten_once_its_statement_is_answered) {
    served_connection served;
    const auto limits = test::unlimited_callers(served.m_loop);
    auto listener = tcp_listener::listen(served.m_loop.m_loop, test::test_address(41), [&](int fd) {
        line_protocol::serve_caller(served.m_loop.m_loop, fd, served.m_fleet.instance(1), limits);
    });
    {
        waiting_caller caller(test::test_address(41), "START pay caller\r\nQUERY last WRITE 1 a\r\n");
        caller.receive(std::string("READY I -\r\n").size());
    }
    (void)served.m_peer.received();
    BOOST_TEST(limits->has_connections());
    served.run_for(200ms);
    (void)served.m_peer.received();
    served.m_loop.run_until([&] { return !limits->has_connections(); });
    BOOST_TEST(served.m_fleet.instance(1).state_dump().at("sessions") == 0);
    BOOST_TEST(served.m_fleet.m_upstreams.m_runs.size() == 1);
}

BOOST_AUTO_TEST_CASE(
    a_statement_before_the_end_that_the_caller_asks_for_is_answered_in_a_forwarded_session) {
    forwarding_instance site([](forwarding_instance& at, tcp_stream& stream) {
        if (at.m_forwarded.find("QUERY") == std::string::npos) {
            stream.write("READY I -\r\n");
        }
    });
    site.m_caller.write("QUERY last WRITE 1 a\r\nTERMINATE\r\n");
    site.m_loop.run_until([&] {
        (void)site.m_caller.received();
        return site.m_forwarded.find("QUERY last") != std::string::npos;
    });
    (void)site.m_caller.received();
    site.m_streams.back()->write("COMPLETE proof\r\nREADY I 1.2\r\n");
    site.run_until_ready(2);
    BOOST_TEST(site.m_caller.received() == "READY I -\r\nCOMPLETE proof\r\nREADY I 1.2\r\n");
    BOOST_TEST(site.m_caller.is_closed());
}

BOOST_AUTO_TEST_CASE(a_statement_before_the_end_that_the_caller_asks_for_is_answered) {
    served_connection served;
    served.serve_caller();
    served.m_peer.write("QUERY last WRITE 1 a\r\nTERMINATE\r\n");
    served.run_statements(1);
    BOOST_TEST(ready_lines(served.m_peer.received()) == 3);
    BOOST_TEST(served.m_peer.is_closed());
}

BOOST_AUTO_TEST_CASE(all_statements_that_were_read_before_a_session_ends_are_answered) {
    constexpr int sent_ahead = 100;
    served_connection served;
    allow_long_statements(served.m_fleet);
    served.serve_caller();
    served.m_fleet.m_upstreams.at("orders-1").m_work_time = 60000ms;
    std::string statements;
    for (int number = 0; number < sent_ahead; ++number) {
        statements += "QUERY ahead WRITE 1 a\r\n";
    }
    served.m_peer.write(statements);
    served.run_for(100ms);
    served.m_fleet.instance(1).leave(grace, [] {});
    served.run_for(grace);
    BOOST_TEST(ready_lines(served.m_peer.received()) == 2 + sent_ahead);
}

BOOST_AUTO_TEST_CASE(a_caller_that_is_gone_is_forgotten_though_the_serving_instance_stays_silent) {
    // Far longer than the deadline of the statement, 1 s.
    constexpr milliseconds forgotten_within{5000};
    forwarding_instance site(
        [](forwarding_instance& at, tcp_stream& stream) {
            if (at.m_forwarded.find("QUERY") == std::string::npos) {
                stream.write("READY I -\r\n");
            }
        },
        {.m_start_limit = 200ms, .m_message_limit = 200ms, .m_unread_limit = 200ms});
    int forwarding = 1;
    while (!site.m_fleet.instance(forwarding).forwarding_target("pay")) {
        ++forwarding;
    }
    auto listener = tcp_listener::listen(site.m_loop.m_loop, test::test_address(42), [&](int fd) {
        line_protocol::serve_caller(site.m_loop.m_loop, fd, site.m_fleet.instance(forwarding),
                                    site.m_limits);
    });
    {
        waiting_caller caller(test::test_address(42), "START pay caller\r\nQUERY last WRITE 1 a\r\n");
        caller.receive(std::string("READY I -\r\n").size());
        site.m_loop.run_until([&] { return site.m_forwarded.find("QUERY") != std::string::npos; });
    }
    bool is_over = false;
    site.m_loop.m_loop.after(forgotten_within, [&] { is_over = true; });
    site.m_loop.run_until([&] {
        site.m_fleet.run_for(1ms);
        return is_over;
    });
    // The connection of site.m_caller is left.
    BOOST_TEST(site.m_limits->close_for_exit() == 1);
}
