/// \file table_follower.cpp
/// A copy of a table stays current through the store's faults and never goes back.
#include "support/fake_store.hpp"

#include "anvilmount/gateway/table_follower.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

struct followed {
    test::manual_clock m_clock;
    test::fake_store m_store{m_clock};
    gateway::clock_port m_clock_port{m_clock.port()};
    gateway::store_port m_port{m_store.port("i1")};
    int m_changes{0};
    gateway::table_follower m_follower{{.m_table = "t", .m_watch_timeout = 2000ms},
                                       m_clock_port,
                                       m_port,
                                       [this](const auto&) { ++m_changes; }};

    followed() {
        m_store.put("t", "a", "1");
        m_follower.start();
        m_clock.run_for(50ms);
    }

    [[nodiscard]] std::string value(const std::string& key) const {
        const auto row = m_follower.rows().find(key);
        return row == m_follower.rows().end() ? "none" : row->second.m_value;
    }
};

}

BOOST_AUTO_TEST_CASE(changes_arrive_at_once) {
    followed table;
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

BOOST_AUTO_TEST_CASE(a_quiet_table_costs_one_call_a_wait) {
    followed table;
    const int before = table.m_store.m_calls;
    table.m_clock.run_for(20000ms);
    BOOST_TEST(table.m_store.m_calls - before <= 11);
}

BOOST_AUTO_TEST_CASE(what_changed_while_the_store_was_away_arrives_after_it) {
    followed table;
    table.m_store.m_away = true;
    table.m_store.put("t", "a", "2");
    table.m_clock.run_for(6000ms);
    BOOST_TEST(table.value("a") == "1");
    BOOST_TEST(table.m_follower.unavailable_since().has_value());
    table.m_store.m_away = false;
    table.m_clock.run_for(3000ms);
    BOOST_TEST(table.value("a") == "2");
    BOOST_TEST(!table.m_follower.unavailable_since().has_value());
}

BOOST_AUTO_TEST_CASE(an_instance_that_is_turned_away_asks_sparingly) {
    followed table;
    table.m_store.m_turned_away.insert("i1");
    table.m_clock.run_for(4000ms);
    const int before = table.m_store.m_calls;
    table.m_clock.run_for(10000ms);
    BOOST_TEST(table.m_store.m_calls - before <= 15);
    BOOST_TEST(table.value("a") == "1");
}

BOOST_AUTO_TEST_CASE(a_forgotten_history_is_made_up_for_by_reading_the_table) {
    followed table;
    table.m_store.m_away = true;
    table.m_clock.run_for(4000ms);
    table.m_store.put("t", "b", "3");
    table.m_store.remove("t", "a");
    table.m_store.forget_history();
    table.m_store.m_away = false;
    table.m_clock.run_for(3000ms);
    BOOST_TEST(table.value("b") == "3");
    BOOST_TEST(table.value("a") == "none");
}

BOOST_AUTO_TEST_CASE(a_table_that_was_never_read_is_asked_for_more_often) {
    test::manual_clock clock;
    test::fake_store store(clock);
    store.put("t", "a", "1");
    store.m_turned_away = {"i1"};
    const gateway::clock_port clock_port = clock.port();
    const gateway::store_port port = store.port("i1");
    gateway::table_follower follower({.m_table = "t"}, clock_port, port, [](const auto&) {});
    follower.start();
    clock.run_for(5000ms);
    store.m_turned_away.clear();
    clock.run_for(300ms);
    BOOST_TEST(follower.is_loaded());
}

BOOST_AUTO_TEST_CASE(a_long_series_of_changes_that_was_missed_does_not_keep_a_narrow_link_behind) {
    followed table;
    table.m_store.m_longest_feed = 20;
    table.m_store.m_turned_away.insert("i1");
    for (int change = 0; change < 60; ++change) {
        table.m_store.put("t", "a", std::to_string(change));
        table.m_clock.run_for(100ms);
    }
    table.m_store.m_turned_away.clear();
    table.m_clock.run_for(1500ms);
    BOOST_TEST(table.value("a") == "59");
}

BOOST_AUTO_TEST_CASE(a_refresh_brings_what_a_silent_feed_withholds) {
    followed table;
    table.m_store.m_silent_feeds = true;
    table.m_store.put("t", "a", "2");
    table.m_clock.run_for(50ms);
    BOOST_TEST(table.value("a") == "1");
    table.m_follower.refresh();
    table.m_clock.run_for(50ms);
    BOOST_TEST(table.value("a") == "2");
    // The feed that goes on from there is the only one: one call a wait.
    table.m_store.m_silent_feeds = false;
    const int before = table.m_store.m_calls;
    table.m_clock.run_for(20000ms);
    BOOST_TEST(table.m_store.m_calls - before <= 11);
}

BOOST_AUTO_TEST_CASE(changes_in_series_come_together) {
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
