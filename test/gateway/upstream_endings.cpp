/// \file upstream_endings.cpp
/// Connections to upstreams whose end, or whose unexpected message, has arrived before the event loop
/// reports it: no statement is sent on them, so that its outcome is not in doubt and its answer is its own.
#include "line_channels.hpp"
#include "support/event_loop.hpp"
#include "support/gateway_fleet.hpp"

#include "anvilmount/gateway/upstream_pool.hpp"
#include "anvilmount/wire/tcp_listener.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace anvilmount;
using namespace std::chrono_literals;
using kind = gateway::statement_kind;

namespace {

/// Longer than the event loop of any test is late.
constexpr milliseconds late{50};

std::ptrdiff_t run_count(const test::gateway_fleet& fleet, const std::string& text) {
    return std::count_if(fleet.m_upstreams.m_runs.begin(), fleet.m_upstreams.m_runs.end(),
                         [&](const test::run_statement& each) { return each.m_text == text; });
}

gateway::pool_work write_work(steady_time now, std::function<void(gateway::work_result)> done) {
    return {.m_target_time = now + 10s,
            .m_send_deadline = now + 10s,
            .m_answer_deadline = now + 10s,
            .m_values = std::make_shared<gateway::session_values>(),
            .m_statement = {.m_id = "q1", .m_text = "WRITE 1 a", .m_writes = true},
            .m_done = std::move(done)};
}

/// A pool in virtual time whose connections are real; the test plays the upstream.
struct connected_pool {
    test::event_loop m_loop;
    test::manual_clock m_clock;
    gateway::clock_port m_clock_port{m_clock.port()};
    metrics m_metrics;
    gateway::upstream_connector m_connector{line_protocol::make_upstream_connector(m_loop.m_loop)};
    std::unique_ptr<tcp_listener> m_listener;
    std::vector<std::shared_ptr<tcp_stream>> m_streams; ///< The upstream's ends, in order of connecting.
    std::string m_received;                             ///< By the upstream, on all connections.
    std::unique_ptr<gateway::upstream_pool> m_pool;

    connected_pool() {
        m_listener = std::move(tcp_listener::listen(m_loop.m_loop, test::test_address(1), [this](int fd) {
                                   accept(fd);
                               }).value());
        m_pool = std::make_unique<gateway::upstream_pool>(
            gateway::upstream_entry{
                .m_id = {"one"}, .m_group = {"orders"}, .m_address = test::test_address(1)},
            gateway::pool_limits{}, m_clock_port, m_connector, m_metrics);
        m_loop.run_until([this] { return m_pool->connections().idle() == 1; });
    }

    void accept(int fd) {
        const std::size_t number = m_streams.size();
        m_streams.push_back(
            tcp_stream::adopt(m_loop.m_loop, fd,
                              {.m_on_bytes =
                                   [this, number](std::string_view bytes) {
                                       m_received.append(bytes);
                                       const bool is_query = bytes.find("QUERY") != std::string_view::npos;
                                       m_streams[number]->write(is_query ? "COMPLETE own\r\nREADY I 1.1\r\n"
                                                                         : "READY I 1.1\r\n");
                                   },
                               .m_on_closed = [](close_reason) {}}));
    }

    /// Sends a write without a round of the event loop before it, and returns what became of it.
    gateway::work_result write() {
        std::optional<gateway::work_result> outcome;
        m_pool->submit(
            write_work(m_clock.now(), [&](gateway::work_result result) { outcome = std::move(result); }));
        m_clock.run_for(1ms);
        m_loop.run_until([&] { return outcome.has_value(); });
        return *outcome;
    }
};

}

BOOST_AUTO_TEST_CASE(a_write_is_not_sent_on_a_connection_that_its_upstream_has_closed) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(100ms);
    fleet.m_upstreams.close_connections("orders-1", late);
    caller.send(kind::write, "WRITE 2 a");
    fleet.run_for(200ms);
    BOOST_REQUIRE(caller.m_answers.size() == 2U);
    BOOST_TEST(caller.m_answers[1].succeeded());
    BOOST_TEST(run_count(fleet, "WRITE 2 a") == 1);
}

BOOST_AUTO_TEST_CASE(a_write_whose_connection_has_ended_is_sent_once_a_connect_succeeds) {
    test::manual_clock clock;
    test::fake_upstreams upstreams(clock);
    upstreams.add_group("orders", 1);
    const gateway::clock_port clock_port = clock.port();
    const gateway::upstream_connector connector = upstreams.connector("i1");
    metrics counters;
    gateway::upstream_pool pool(upstreams.at("orders-1").m_entry, {.m_min_idle = 0}, clock_port, connector,
                                counters);
    std::vector<gateway::work_result> outcomes;
    const auto write = [&] {
        pool.submit(write_work(clock.now(), [&](gateway::work_result result) {
            if (result.m_connection) {
                pool.release_connection(result.m_connection);
            }
            outcomes.push_back(std::move(result));
        }));
    };
    write();
    clock.run_for(100ms);
    BOOST_REQUIRE(outcomes.size() == 1U);
    upstreams.close_connections("orders-1", late);
    upstreams.at("orders-1").m_down = true;
    write();
    clock.run_for(30ms);
    upstreams.at("orders-1").m_down = false;
    for (int round = 0; round < 50; ++round) {
        pool.tick();
        clock.run_for(10ms);
    }
    BOOST_REQUIRE(outcomes.size() == 2U);
    BOOST_TEST((outcomes[1].m_outcome == gateway::work_outcome::answered));
}

BOOST_AUTO_TEST_CASE(a_write_is_not_sent_on_a_socket_that_its_upstream_has_closed) {
    connected_pool site;
    site.m_streams.front()->close();
    const gateway::work_result outcome = site.write();
    BOOST_TEST((outcome.m_outcome == gateway::work_outcome::answered));
    BOOST_TEST(outcome.m_answer.m_proof.value_or("") == "own");
    const std::size_t sent = site.m_received.find("WRITE 1 a");
    BOOST_TEST((sent != std::string::npos));
    BOOST_TEST((site.m_received.find("WRITE 1 a", sent + 1) == std::string::npos));
}

BOOST_AUTO_TEST_CASE(a_write_is_not_sent_on_a_socket_that_its_upstream_has_reset) {
    connected_pool site;
    site.m_streams.front()->reset();
    const gateway::work_result outcome = site.write();
    BOOST_TEST((outcome.m_outcome == gateway::work_outcome::answered));
    BOOST_TEST(outcome.m_answer.m_proof.value_or("") == "own");
}

BOOST_AUTO_TEST_CASE(a_message_sent_before_a_write_is_not_taken_for_its_answer) {
    connected_pool site;
    site.m_streams.front()->write("COMPLETE stray\r\nREADY I 1.1\r\n");
    const gateway::work_result outcome = site.write();
    BOOST_TEST((outcome.m_outcome == gateway::work_outcome::answered));
    BOOST_TEST(outcome.m_answer.m_proof.value_or("") == "own");
}

BOOST_AUTO_TEST_CASE(an_internal_statement_is_not_sent_on_a_socket_that_its_upstream_has_closed) {
    connected_pool site;
    site.m_streams.front()->close();
    std::optional<std::optional<gateway::answer>> reply;
    site.m_pool->send_internal(
        {.m_kind = gateway::outgoing_statement::kind::status},
        [&](std::optional<gateway::answer> received) { reply = std::move(received); });
    site.m_loop.run_until([&] { return reply.has_value(); });
    BOOST_TEST(reply->has_value());
}

BOOST_AUTO_TEST_CASE(a_commit_is_not_sent_on_a_connection_that_its_upstream_has_closed) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::begin, "BEGIN");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(100ms);
    fleet.m_upstreams.close_connections("orders-1", late);
    caller.send(kind::commit, "COMMIT");
    fleet.run_for(200ms);
    BOOST_REQUIRE(caller.m_answers.size() == 3U);
    BOOST_TEST((caller.m_answers[2].m_code == result_code::transaction_lost));
    BOOST_TEST((caller.m_answers[2].m_state == gateway::session_state::idle));
    caller.send(kind::write, "WRITE 2 a");
    fleet.run_for(200ms);
    BOOST_REQUIRE(caller.m_answers.size() == 4U);
    BOOST_TEST(caller.m_answers[3].succeeded());
    BOOST_TEST(run_count(fleet, "COMMIT") == 0);
}
