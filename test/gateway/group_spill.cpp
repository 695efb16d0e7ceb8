/// \file group_spill.cpp
/// Runs reads through a group in virtual time. Guards against shares that are decided but not applied,
/// measurements that are taken wrongly from the answers, and any effect at price 0.
#include "support/fake_upstreams.hpp"

#include "anvilmount/gateway/group_service.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

/// An instance in dc2, beside the replica orders-2. The primary orders-1 is in dc1, the replica orders-3 in
/// dc3. One read of rank 2 starts every 20 ms.
class group_under_load {
public:
    explicit group_under_load(double price) {
        m_upstreams.add_group("orders", 3);
        m_group = std::make_unique<gateway::group_service>(
            gateway::group_options{.m_name = {"orders"},
                                   .m_data_centre = {"dc2"},
                                   .m_limits = {.m_connections = 20, .m_slots = 3},
                                   .m_remote_byte_price = price},
            m_clock_port, m_connector, m_lease, m_metrics);
        m_lease.renew(m_clock.now(), m_clock.now(), 0);
        m_group->adopt_upstreams(m_upstreams.registry(), true);
        m_group->adopt_record({.m_epoch = 1, .m_primary = {"orders-1"}, .m_term = 1}, [] {});
        run_for(1s);
        m_upstreams.m_runs.clear();
    }

    void run_for(milliseconds time) {
        for (const steady_time end = m_clock.now() + time; m_clock.now() < end;) {
            m_lease.renew(m_clock.now(), m_clock.now(), 0);
            if (m_round % 25 == 0) {
                // Its answer tells how far the primary's log reaches.
                submit(gateway::request_placement::primary);
            } else if (m_round % 2 == 0) {
                submit(gateway::request_placement::replica_allowed);
            }
            ++m_round;
            m_clock.run_for(10ms);
            m_group->tick();
        }
    }

    /// Returns the share of the reads since the last call that ran at `upstream`.
    double share_at(const std::string& upstream) {
        const auto at = [&](const std::string& id) {
            return static_cast<double>(
                std::count_if(m_upstreams.m_runs.begin(), m_upstreams.m_runs.end(), [&](const auto& each) {
                    return each.m_upstream == id && each.m_text == "READ x";
                }));
        };
        const double all = at("orders-1") + at("orders-2") + at("orders-3");
        const double share = at(upstream) / std::max(1.0, all);
        m_upstreams.m_runs.clear();
        return share;
    }

    [[nodiscard]] std::uint64_t counter(const std::string& name) const {
        const nlohmann::json counters = m_metrics.to_json().at("counters");
        return counters.value(name, std::uint64_t{0});
    }

    test::manual_clock m_clock;
    test::fake_upstreams m_upstreams{m_clock};
    std::unique_ptr<gateway::group_service> m_group;
    int m_failed{0};

private:
    void submit(gateway::request_placement placement) {
        const steady_time now = m_clock.now();
        const bool is_read = placement == gateway::request_placement::replica_allowed;
        m_group->submit({.m_caller = m_round,
                         .m_id = "q" + std::to_string(m_round),
                         .m_rank = 2,
                         .m_placement = placement,
                         .m_retryable = true,
                         .m_arrived = now,
                         .m_deadline = now + 2s,
                         .m_target_time = now + 400ms,
                         .m_max_staleness = is_read ? std::optional(1500ms) : std::nullopt,
                         .m_values = std::make_shared<const gateway::session_values>(),
                         .m_statement = {.m_kind = gateway::outgoing_statement::kind::forwarded,
                                         .m_id = "q" + std::to_string(m_round),
                                         .m_text = is_read ? "READ x" : "READ y"}},
                        [this](const gateway::group_reply& reply) {
                            if (reply.m_outcome == gateway::work_outcome::answered) {
                                reply.m_pool->release_or_close(reply.m_connection, reply.m_answer.m_state);
                            }
                            m_failed += reply.m_outcome == gateway::work_outcome::answered ? 0 : 1;
                        });
    }

    gateway::clock_port m_clock_port{m_clock.port()};
    gateway::upstream_connector m_connector{m_upstreams.connector("i1")};
    confirmation_lease m_lease{10s};
    metrics m_metrics;
    std::uint64_t m_round{0};
};

}

BOOST_AUTO_TEST_CASE(bulky_reads_stay_where_a_sooner_answer_does_not_pay_for_their_bytes) {
    group_under_load group(10);
    for (const char* replica : {"orders-2", "orders-3"}) {
        group.m_upstreams.at(replica).m_rows = {std::string(20000, 'x')};
    }
    group.m_upstreams.at("orders-2").m_work_time = 40ms;
    group.m_upstreams.at("orders-3").m_work_time = 10ms;
    // The first shares are what was placed before anything was measured; they return in steps.
    group.run_for(40s);
    static_cast<void>(group.share_at("orders-2"));
    group.run_for(20s);
    BOOST_TEST(group.share_at("orders-2") > 0.95);
    BOOST_TEST(group.counter("reads_stayed") > 0U);
}

BOOST_AUTO_TEST_CASE(at_price_zero_reads_are_placed_by_load_and_distance_only) {
    group_under_load group(0);
    for (const char* replica : {"orders-2", "orders-3"}) {
        group.m_upstreams.at(replica).m_rows = {std::string(20000, 'x')};
    }
    group.m_upstreams.at("orders-2").m_work_time = 40ms;
    group.m_upstreams.at("orders-3").m_work_time = 10ms;
    group.run_for(30s);
    BOOST_TEST(group.share_at("orders-3") > 0.8);
    for (const char* name : {"reads_stayed", "reads_left", "reads_left_on_trial", "spill_changes"}) {
        BOOST_TEST(group.counter(name) == 0U);
    }
    BOOST_TEST(group.m_group->spill_state().empty());
}

BOOST_AUTO_TEST_CASE(reads_leave_a_slow_data_centre_in_steps_and_return) {
    group_under_load group(0.01);
    group.m_upstreams.at("orders-2").m_work_time = 10ms;
    group.m_upstreams.at("orders-3").m_work_time = 10ms;
    group.run_for(20s);
    static_cast<void>(group.share_at("orders-3"));
    group.run_for(10s);
    BOOST_TEST(group.share_at("orders-3") < 0.1);
    group.m_upstreams.at("orders-2").m_work_time = 80ms;
    group.run_for(60s);
    static_cast<void>(group.share_at("orders-3"));
    group.run_for(10s);
    BOOST_TEST(group.share_at("orders-3") > 0.6);
    group.m_upstreams.at("orders-2").m_work_time = 10ms;
    group.run_for(90s);
    static_cast<void>(group.share_at("orders-3"));
    group.run_for(10s);
    BOOST_TEST(group.share_at("orders-3") < 0.1);
    BOOST_TEST(group.counter("spill_changes") <= 90U);
    BOOST_TEST(group.m_failed == 0);
}

BOOST_AUTO_TEST_CASE(a_data_centre_whose_answers_are_lost_gets_trial_reads_only) {
    group_under_load group(0.01);
    group.m_upstreams.at("orders-2").m_work_time = 60ms;
    group.run_for(40s);
    BOOST_TEST(group.share_at("orders-3") > 0.2);
    // Statements arrive and run, but their connections break before the answer.
    group.m_upstreams.at("orders-3").m_loses_answers = true;
    group.run_for(4s);
    static_cast<void>(group.share_at("orders-3"));
    const std::uint64_t lost = group.counter("answers_lost");
    group.run_for(60s);
    BOOST_TEST(group.share_at("orders-3") < 0.02);
    BOOST_TEST(group.counter("answers_lost") - lost <= 31U);
    const nlohmann::json shares = group.m_group->spill_state();
    BOOST_TEST(std::any_of(shares.begin(), shares.end(), [](const nlohmann::json& each) {
        return each.at("to") == "dc3" && each.at("reason") == "path_trouble";
    }));
    group.m_upstreams.at("orders-3").m_loses_answers = false;
    group.run_for(60s);
    BOOST_TEST(group.share_at("orders-3") > 0.2);
    BOOST_TEST(group.m_failed == 0);
}
