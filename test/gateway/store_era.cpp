/// \file store_era.cpp
/// No version that the store gave out before it came back from an older copy is used after it.
#include "support/fake_store.hpp"

#include "anvilmount/gateway/store_era.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

using namespace anvilmount;
using namespace std::chrono_literals;
using gateway::store_answer;
using gateway::store_change;
using gateway::store_status;

namespace {

/// A store whose row "a" is at version 1 of era 1; later versions of it were lost by a restore.
struct restored_store {
    test::manual_clock m_clock;
    test::fake_store m_store{m_clock};
    gateway::clock_port m_clock_port{m_clock.port()};
    gateway::store_port m_direct{m_store.port("i1")};
    metrics m_metrics;
    gateway::store_era m_era{m_clock_port, m_direct, m_metrics};
    std::vector<std::uint64_t> m_new_eras;
    store_version m_known; ///< Newest version before the restore.

    restored_store() {
        m_era.set_handler([this](std::uint64_t era) { m_new_eras.push_back(era); });
        m_store.put("t", "a", "1");
        const auto earlier = m_store.back_up();
        m_store.put("t", "a", "2");
        m_store.put("t", "a", "3");
        m_known = read().m_version;
        m_store.restore(earlier);
    }

    store_answer read() {
        return answer_of([&](gateway::store_callback done) { m_era.port().m_read_table("t", done); });
    }

    store_answer change(const store_change& what) {
        return answer_of([&](gateway::store_callback done) { m_era.port().m_change(what, done); });
    }

    template <class Request>
    store_answer answer_of(Request request) {
        std::optional<store_answer> answer;
        request([&](const store_answer& reply) { answer = reply; });
        m_clock.run_for(5000ms);
        BOOST_REQUIRE(answer.has_value());
        return *answer;
    }

    /// Brings the store to the version numbers that were known before the restore.
    void give_versions_out_again() {
        m_store.put("t", "b", "x");
        m_store.put("t", "a", "4");
        m_store.put("t", "c", "y");
    }
};

}

BOOST_AUTO_TEST_CASE(a_later_era_supersedes_every_version_of_an_earlier_one) {
    const store_version before{.m_era = 1, .m_number = 900};
    const store_version after{.m_era = 2, .m_number = 3};
    BOOST_TEST((after > before));
    BOOST_TEST(to_string(after) == "2.3");
}

BOOST_AUTO_TEST_CASE(a_watch_from_a_version_that_was_given_out_again_finds_no_history) {
    restored_store store;
    store.give_versions_out_again();
    const store_answer reply = store.answer_of([&](gateway::store_callback done) {
        store.m_era.port().m_watch("t", store.m_known, 1000ms, done);
    });
    BOOST_TEST((reply.m_status == store_status::history_gone));
    BOOST_TEST((store.m_new_eras == std::vector<std::uint64_t>{1, 2}));
}

BOOST_AUTO_TEST_CASE(a_poll_from_a_version_that_was_given_out_again_finds_no_history) {
    restored_store store;
    store.give_versions_out_again();
    const store_answer reply = store.answer_of(
        [&](gateway::store_callback done) { store.m_era.port().m_read_changes("t", store.m_known, done); });
    BOOST_TEST((reply.m_status == store_status::history_gone));
    BOOST_TEST(reply.m_rows.empty());
}

BOOST_AUTO_TEST_CASE(a_condition_from_before_the_restore_is_not_sent) {
    restored_store store;
    store.give_versions_out_again();
    static_cast<void>(store.read());
    const int before = store.m_store.m_calls;
    // Row "a" has this number again, with another value.
    const store_answer reply =
        store.change({.m_expected = {{.m_table = "t", .m_key = "a", .m_version = store.m_known}},
                      .m_writes = {{.m_table = "t", .m_key = "a", .m_value = "based on 3"}}});
    BOOST_TEST((reply.m_status == store_status::history_gone));
    BOOST_TEST(store.m_store.m_calls == before);
    BOOST_TEST(store.m_store.value("t", "a") == "4");
}

BOOST_AUTO_TEST_CASE(a_change_whose_condition_held_by_accident_is_not_taken_for_done) {
    restored_store store;
    store.give_versions_out_again();
    const store_answer reply =
        store.change({.m_expected = {{.m_table = "t", .m_key = "a", .m_version = store.m_known}},
                      .m_writes = {{.m_table = "m", .m_key = "heartbeat", .m_value = "x"}}});
    BOOST_TEST((reply.m_status == store_status::unknown));
    BOOST_TEST(store.m_era.current() == 2U);
}

BOOST_AUTO_TEST_CASE(an_answer_from_before_the_restore_that_arrives_late_is_not_believed) {
    restored_store store;
    static_cast<void>(store.read());
    BOOST_TEST(store.m_era.current() == 2U);
    BOOST_TEST(!store.m_era.observe(1));
    BOOST_TEST(store.m_era.observe(2));
    BOOST_TEST(store.m_era.current() == 2U);
}
