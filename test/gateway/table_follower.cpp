/// \file table_follower.cpp
/// A followed table stays current through failures of the store, and its rows never go back to an
/// earlier version.
#include "support/fake_store.hpp"

#include "anvilmount/gateway/table_follower.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

/// A follower of table "t", loaded with one row.
struct followed_table {
    test::manual_clock m_clock;
    test::fake_store m_store{m_clock};
    gateway::clock_port m_clock_port{m_clock.port()};
    gateway::store_port m_port{m_store.port("i1")};
    int m_changes{0};
    gateway::table_follower m_follower{{.m_table = "t", .m_watch_timeout = 2000ms},
                                       m_clock_port,
                                       m_port,
                                       [this](const auto&) { ++m_changes; }};

    followed_table() {
        m_store.put("t", "a", "1");
        m_follower.start();
        m_clock.run_for(50ms);
    }

    [[nodiscard]] std::string value(const std::string& key) const {
        const auto row = m_follower.rows().find(key);
        return row == m_follower.rows().end() ? "none" : row->second.m_value;
    }

    /// The follower takes in ten changes that the store then forgets.
    void lose_changes() {
        const auto earlier = m_store.back_up();
        for (int change = 0; change < 10; ++change) {
            m_store.put("t", "a", "lost " + std::to_string(change));
        }
        m_clock.run_for(50ms);
        m_store.restore(earlier);
    }
};

}

BOOST_AUTO_TEST_CASE(a_change_arrives_at_once) {
    followed_table table;
    BOOST_TEST(table.value("a") == "1");
    table.m_store.put("t", "a", "2");
    table.m_store.put("other", "a", "9");
    table.m_store.put("t", "b", "3");
    table.m_clock.run_for(50ms);
    BOOST_TEST(table.value("a") == "2");
    BOOST_TEST(table.value("b") == "3");
    table.m_store.remove("t", "a");
    table.m_clock.run_for(50ms);
    BOOST_TEST(table.value("a") == "none");
}

BOOST_AUTO_TEST_CASE(a_quiet_table_costs_one_call_per_watch) {
    followed_table table;
    const int before = table.m_store.m_calls;
    table.m_clock.run_for(20000ms);
    BOOST_TEST(table.m_store.m_calls - before <= 11);
}

BOOST_AUTO_TEST_CASE(changes_made_during_a_store_outage_arrive_after_it) {
    followed_table table;
    table.m_store.m_unreachable = true;
    table.m_store.put("t", "a", "2");
    table.m_clock.run_for(6000ms);
    BOOST_TEST(table.value("a") == "1");
    BOOST_TEST(table.m_follower.unavailable_since().has_value());
    table.m_store.m_unreachable = false;
    table.m_clock.run_for(3000ms);
    BOOST_TEST(table.value("a") == "2");
    BOOST_TEST(!table.m_follower.unavailable_since().has_value());
}

/// Refused calls are paid for too, so a refused follower must not retry without bounds.
BOOST_AUTO_TEST_CASE(an_instance_that_the_store_refuses_retries_with_backoff) {
    followed_table table;
    table.m_store.m_refused_clients.insert("i1");
    table.m_clock.run_for(4000ms);
    const int before = table.m_store.m_calls;
    table.m_clock.run_for(10000ms);
    BOOST_TEST(table.m_store.m_calls - before <= 15);
    BOOST_TEST(table.value("a") == "1");
}

/// The store forgets its history during an outage, so a watch cannot report the removal made in
/// that time.
BOOST_AUTO_TEST_CASE(a_snapshot_is_read_when_the_history_is_gone) {
    followed_table table;
    table.m_store.m_unreachable = true;
    table.m_clock.run_for(4000ms);
    table.m_store.put("t", "b", "3");
    table.m_store.remove("t", "a");
    table.m_store.forget_history();
    table.m_store.m_unreachable = false;
    table.m_clock.run_for(3000ms);
    BOOST_TEST(table.value("b") == "3");
    BOOST_TEST(table.value("a") == "none");
}

BOOST_AUTO_TEST_CASE(a_table_that_was_never_loaded_is_retried_sooner) {
    test::manual_clock clock;
    test::fake_store store(clock);
    store.put("t", "a", "1");
    store.m_refused_clients = {"i1"};
    const gateway::clock_port clock_port = clock.port();
    const gateway::store_port port = store.port("i1");
    gateway::table_follower follower({.m_table = "t"}, clock_port, port, [](const auto&) {});
    follower.start();
    clock.run_for(5000ms);
    store.m_refused_clients.clear();
    clock.run_for(300ms);
    BOOST_TEST(follower.is_loaded());
}

/// A watch returns every version since its start. On a slow link that answer never arrives in time,
/// so a follower that only watched would stay behind.
BOOST_AUTO_TEST_CASE(a_missed_series_of_changes_is_skipped_by_reading_a_snapshot) {
    followed_table table;
    table.m_store.m_max_watch_rows = 20;
    table.m_store.m_refused_clients.insert("i1");
    for (int change = 0; change < 60; ++change) {
        table.m_store.put("t", "a", std::to_string(change));
        table.m_clock.run_for(100ms);
    }
    table.m_store.m_refused_clients.clear();
    table.m_clock.run_for(1500ms);
    BOOST_TEST(table.value("a") == "59");
}

/// The store leaves watches unanswered; refresh() must replace the one in flight.
BOOST_AUTO_TEST_CASE(a_refresh_reads_changes_that_an_unanswered_watch_missed) {
    followed_table table;
    table.m_store.m_silent_watches = true;
    table.m_store.put("t", "a", "2");
    table.m_clock.run_for(50ms);
    BOOST_TEST(table.value("a") == "1");
    table.m_follower.refresh();
    table.m_clock.run_for(50ms);
    BOOST_TEST(table.value("a") == "2");
    table.m_store.m_silent_watches = false;
    // Only the watch that refresh() has started is left: one call per watch.
    const int before = table.m_store.m_calls;
    table.m_clock.run_for(20000ms);
    BOOST_TEST(table.m_store.m_calls - before <= 11);
}

BOOST_AUTO_TEST_CASE(changes_in_quick_succession_are_fetched_together) {
    test::manual_clock clock;
    test::fake_store store(clock);
    const gateway::clock_port clock_port = clock.port();
    const gateway::store_port port = store.port("i1");
    gateway::table_follower follower({.m_table = "t", .m_watch_timeout = 2000ms, .m_min_interval = 150ms},
                                     clock_port, port, [](const auto&) {});
    follower.start();
    clock.run_for(500ms);
    const int before = store.m_calls;
    for (int change = 0; change < 100; ++change) {
        store.put("t", "a", std::to_string(change));
        clock.run_for(20ms);
    }
    clock.run_for(200ms);
    BOOST_TEST(store.m_calls - before <= 15);
    BOOST_TEST(follower.rows().at("a").m_value == "99");
}

BOOST_AUTO_TEST_CASE(a_change_made_after_the_store_went_back_reaches_the_copy) {
    followed_table table;
    table.lose_changes();
    table.m_store.put("t", "a", "2");
    table.m_store.put("t", "b", "3");
    table.m_clock.run_for(5000ms);
    BOOST_TEST(table.value("a") == "2");
    BOOST_TEST(table.value("b") == "3");
}

BOOST_AUTO_TEST_CASE(following_a_store_that_went_back_costs_no_more_calls_than_before) {
    followed_table table;
    table.lose_changes();
    const int before = table.m_store.m_calls;
    table.m_clock.run_for(20000ms);
    BOOST_TEST(table.m_store.m_calls - before <= 15);
}
