/// \file member_directory.cpp
/// What an instance knows of the others, from tables, deltas and published renewals.
#include "anvilmount/gateway/member_directory.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;
using gateway::store_answer;
using gateway::store_row;

namespace {

const steady_time start{1h};

/// `registered`: number of the version with which the process registered; 0: with this one.
store_row member_row(const std::string& name, std::uint64_t version, const std::string& incarnation = "1",
                     std::uint64_t registered = 0) {
    return {.m_table = gateway::members_table,
            .m_key = gateway::member_prefix + name,
            .m_value = gateway::to_text(
                gateway::member_record{.m_name = name,
                                       .m_incarnation = name + incarnation,
                                       .m_registration = store_version{.m_era = 1, .m_number = registered},
                                       .m_processor_millis = 120,
                                       .m_acknowledged_version = store_version{.m_number = 4}}),
            .m_version = {.m_number = version}};
}

store_row renewals(const renewal_counts& counts, std::uint64_t version) {
    return {.m_table = gateway::members_table,
            .m_key = gateway::renewals_prefix + "relay",
            .m_value = gateway::to_text(counts),
            .m_version = {.m_number = version}};
}

store_answer answer(std::vector<store_row> rows, std::uint64_t version, bool is_delta) {
    return {.m_status = gateway::store_status::done,
            .m_rows = std::move(rows),
            .m_version = {.m_number = version},
            .m_is_delta = is_delta};
}

const gateway::known_member& member(const gateway::member_directory& directory, const std::string& name) {
    return directory.members().at(gateway::member_prefix + name);
}

}

BOOST_AUTO_TEST_CASE(a_published_renewal_is_a_heartbeat) {
    gateway::member_directory directory("a");
    directory.apply(answer({member_row("a", 1), member_row("b", 2)}, 2, false), start, start);
    directory.apply(answer({renewals({{"b1", 7}}, 3)}, 3, true), start + 3s, start + 3s);
    BOOST_TEST((member(directory, "a").m_heartbeat_seen_at == start));
    BOOST_TEST((member(directory, "b").m_heartbeat_seen_at == start + 3s));
    directory.apply(answer({renewals({{"b1", 7}, {"a1", 1}}, 4)}, 4, true), start + 6s, start + 6s);
    BOOST_TEST((member(directory, "b").m_heartbeat_seen_at == start + 3s));
    BOOST_TEST((member(directory, "a").m_heartbeat_seen_at == start + 6s));
}

BOOST_AUTO_TEST_CASE(a_renewal_of_an_ended_process_does_not_revive_its_successor) {
    gateway::member_directory directory("a");
    directory.apply(answer({member_row("b", 1), renewals({{"b1", 7}}, 2)}, 2, false), start, start);
    directory.apply(answer({member_row("b", 3, "2")}, 3, true), start + 1s, start + 1s);
    directory.apply(answer({renewals({{"b1", 8}}, 4)}, 4, true), start + 2s, start + 2s);
    BOOST_TEST((member(directory, "b").m_heartbeat_seen_at == start + 1s));
}

BOOST_AUTO_TEST_CASE(older_answers_are_ignored) {
    gateway::member_directory directory("a");
    directory.apply(answer({member_row("a", 1), member_row("b", 2)}, 5, false), start, start);
    BOOST_TEST(!directory.apply(answer({member_row("a", 1)}, 4, false), start + 1s, start + 1s));
    BOOST_TEST(!directory.apply(answer({member_row("a", 1)}, 6, false), start - 1s, start + 1s));
    BOOST_TEST(directory.members().size() == 2U);
    BOOST_TEST((directory.read_at() == start));
}

BOOST_AUTO_TEST_CASE(removed_and_unlisted_instances_are_dropped) {
    gateway::member_directory directory("a");
    directory.apply(answer({member_row("a", 1), member_row("b", 2), member_row("c", 3)}, 3, false), start,
                    start);
    store_row removed = member_row("b", 4);
    removed.m_removed = true;
    directory.apply(answer({removed}, 4, true), start + 1s, start + 1s);
    BOOST_TEST(directory.members().size() == 2U);
    directory.apply(answer({member_row("a", 1)}, 5, false), start + 2s, start + 2s);
    BOOST_TEST(directory.members().size() == 1U);
}

BOOST_AUTO_TEST_CASE(unreadable_rows_change_nothing) {
    gateway::member_directory directory("a");
    directory.apply(answer({member_row("a", 1)}, 1, false), start, start);
    for (const char* text : {"", "{", "[]", "{\"name\":5}", "\xff"}) {
        store_row bad = member_row("a", 9);
        bad.m_value = text;
        store_row bad_renewals = renewals({}, 9);
        bad_renewals.m_value = text;
        directory.apply(answer({bad, bad_renewals}, 9, true), start + 1s, start + 1s);
    }
    BOOST_TEST(member(directory, "a").m_record.m_incarnation == "a1");
    BOOST_TEST(directory.members().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_restarted_instance_finds_itself_registered) {
    gateway::member_directory restarted("a");
    restarted.apply(answer({member_row("a", 1), member_row("b", 2)}, 2, false), start, start);
    BOOST_TEST(restarted.was_registered());
    gateway::member_directory added("c");
    added.apply(answer({member_row("a", 1)}, 2, false), start, start);
    BOOST_TEST(!added.was_registered());
}

BOOST_AUTO_TEST_CASE(rows_of_relays_that_stopped_are_found) {
    gateway::member_directory directory("a");
    directory.apply(answer({renewals({{"a1", 1}}, 2)}, 2, false), start, start);
    BOOST_TEST(directory.stale_renewal_rows(60s, start + 59s).empty());
    const auto stale = directory.stale_renewal_rows(60s, start + 60s);
    BOOST_REQUIRE(stale.size() == 1U);
    BOOST_TEST(stale[0].m_version.m_number == 2U);
}

/// Rows of the version before name epochs and no acknowledged version; newer rows must be readable
/// there, which requires the key "epochs".
BOOST_AUTO_TEST_CASE(rows_of_the_version_before_are_read_and_theirs_can_read_ours) {
    const auto old = gateway::parse_member_record(
        R"({"name":"b","incarnation":"7","probe":"10.0.0.1:1","relay":"10.0.0.1:2","store_relay":"10.0.0.1:3",)"
        R"("data_centre":"dc1","leaving":false,"epochs":{"orders":3},"missing":[]})");
    BOOST_REQUIRE(old.has_value());
    BOOST_TEST(!old->m_acknowledged_version.has_value());
    BOOST_TEST(old->m_acknowledged_epochs.at({"orders"}) == 3U);
    const std::string ours = gateway::to_text(
        gateway::member_record{.m_acknowledged_version = store_version{.m_era = 2, .m_number = 8}});
    BOOST_TEST(ours.find("\"epochs\":{}") != std::string::npos);
    BOOST_TEST((gateway::parse_member_record(ours)->m_acknowledged_version ==
                store_version{.m_era = 2, .m_number = 8}));
}

namespace {

store_answer in_era(std::uint64_t era, store_answer made) {
    gateway::set_era(made, era);
    return made;
}

}

BOOST_AUTO_TEST_CASE(members_that_a_restored_table_lacks_are_kept_until_their_leases_are_over) {
    gateway::member_directory directory("a");
    directory.apply(
        in_era(1, answer({member_row("a", 1), member_row("b", 2), member_row("c", 3)}, 30, false)), start,
        start);
    directory.apply(in_era(2, answer({member_row("a", 1)}, 1, false)), start + 1s, start + 1s);
    BOOST_TEST(directory.members().size() == 3U);
    BOOST_TEST(directory.unregistered_members().size() == 2U);
    BOOST_TEST((member(directory, "b").m_heartbeat_seen_at == start + 1s));
    directory.apply(in_era(2, answer({member_row("b", 4)}, 4, true)), start + 2s, start + 2s);
    BOOST_TEST(directory.unregistered_members().size() == 1U);
    directory.apply(in_era(2, answer({}, 5, true)), start + 14s, start + 14s);
    BOOST_TEST(directory.members().size() == 2U);
    BOOST_TEST(directory.unregistered_members().empty());
}

BOOST_AUTO_TEST_CASE(the_last_renewal_of_a_process_that_left_does_not_bring_it_back) {
    gateway::member_directory directory("a");
    directory.apply(answer({member_row("a", 1), member_row("b", 2), renewals({{"b1", 7}}, 3)}, 3, false),
                    start, start);
    store_row removed = member_row("b", 4);
    removed.m_removed = true;
    directory.apply(answer({removed, renewals({{"b1", 8}}, 5)}, 5, true), start + 1s, start + 1s);
    BOOST_TEST(directory.members().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_process_that_registers_after_one_that_left_counts) {
    gateway::member_directory directory("a");
    directory.apply(answer({member_row("a", 1), member_row("b", 2)}, 2, false), start, start);
    store_row removed = member_row("b", 3);
    removed.m_removed = true;
    directory.apply(answer({removed}, 3, true), start + 1s, start + 1s);
    BOOST_TEST(directory.members().size() == 1U);
    directory.apply(answer({member_row("b", 4, "2")}, 4, true), start + 2s, start + 2s);
    BOOST_REQUIRE(directory.members().size() == 2U);
    BOOST_TEST((member(directory, "b").m_heartbeat_seen_at == start + 2s));
    directory.apply(answer({member_row("b", 5, "2", 4)}, 5, true), start + 3s, start + 3s);
    BOOST_TEST((member(directory, "b").m_heartbeat_seen_at == start + 3s));
    BOOST_TEST(directory.unregistered_members().empty());
}

BOOST_AUTO_TEST_CASE(a_late_heartbeat_of_an_ended_process_does_not_hide_the_next_one) {
    gateway::member_directory directory("a");
    directory.apply(answer({member_row("a", 1), member_row("b", 2)}, 2, false), start, start);
    directory.apply(answer({member_row("b", 3, "2")}, 3, true), start + 1s, start + 1s);
    directory.apply(answer({member_row("b", 4, "1", 2)}, 4, true), start + 2s, start + 2s);
    BOOST_TEST(member(directory, "b").m_record.m_incarnation == "b2");
    directory.apply(answer({member_row("b", 5, "2", 3)}, 5, true), start + 3s, start + 3s);
    BOOST_TEST((member(directory, "b").m_heartbeat_seen_at == start + 3s));
}

/// As it was seen on the review's case 5: the reader has not known the ended process before.
BOOST_AUTO_TEST_CASE(a_reader_that_starts_before_a_late_heartbeat_keeps_the_process_that_lives) {
    gateway::member_directory directory("a");
    directory.apply(answer({member_row("a", 1), member_row("b", 3, "2")}, 3, false), start, start);
    directory.apply(answer({member_row("b", 4, "1", 2)}, 4, true), start + 1s, start + 1s);
    BOOST_TEST(member(directory, "b").m_record.m_incarnation == "b2");
    directory.apply(answer({renewals({{"b2", 1}}, 5)}, 5, true), start + 11s, start + 11s);
    BOOST_TEST((member(directory, "b").m_heartbeat_seen_at == start + 11s));
    directory.apply(answer({}, 6, true), start + 22s, start + 22s);
    BOOST_TEST(directory.members().size() == 2U);
    directory.apply(answer({}, 7, true), start + 24s, start + 24s);
    BOOST_TEST(directory.members().size() == 1U);
}

BOOST_AUTO_TEST_CASE(removing_the_row_of_an_ended_process_does_not_remove_the_one_that_lives) {
    gateway::member_directory directory("a");
    directory.apply(answer({member_row("a", 1), member_row("b", 3, "2")}, 3, false), start, start);
    directory.apply(answer({member_row("b", 4, "1", 2)}, 4, true), start + 1s, start + 1s);
    store_row removed = member_row("b", 5, "1", 2);
    removed.m_removed = true;
    directory.apply(answer({removed}, 5, true), start + 2s, start + 2s);
    BOOST_TEST(directory.members().size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_row_of_a_process_that_was_replaced_is_not_believed_after_a_restore) {
    gateway::member_directory directory("a");
    directory.apply(in_era(1, answer({member_row("a", 1), member_row("b", 2)}, 2, false)), start, start);
    directory.apply(in_era(1, answer({member_row("b", 3, "2")}, 3, true)), start + 1s, start + 1s);
    directory.apply(in_era(2, answer({member_row("a", 1), member_row("b", 2)}, 2, false)), start + 2s,
                    start + 2s);
    BOOST_TEST(member(directory, "b").m_record.m_incarnation == "b2");
    const auto missing = directory.unregistered_members();
    BOOST_REQUIRE(missing.size() == 1U);
    BOOST_TEST((missing[0].m_version == store_version{.m_era = 2, .m_number = 2}));
    directory.apply(in_era(2, answer({member_row("b", 5, "2", 3)}, 5, true)), start + 3s, start + 3s);
    BOOST_TEST(directory.unregistered_members().empty());
}

BOOST_AUTO_TEST_CASE(reading_an_unchanged_row_in_a_new_era_is_no_sign_of_life_of_the_long_silent) {
    gateway::member_directory directory("a");
    directory.apply(in_era(1, answer({member_row("a", 1), member_row("b", 2)}, 2, false)), start, start);
    directory.apply(in_era(1, answer({}, 3, true)), start + 60s, start + 60s);
    directory.apply(in_era(2, answer({member_row("a", 1), member_row("b", 2)}, 2, false)), start + 61s,
                    start + 61s);
    BOOST_TEST((member(directory, "b").m_heartbeat_seen_at == start));
}

/// An instance that introduced itself after the last read is not forgotten with the store's newest rows.
BOOST_AUTO_TEST_CASE(an_introduced_member_is_kept_when_the_store_goes_back) {
    gateway::member_directory directory("a");
    const auto table = [](std::uint64_t era, std::uint64_t version, std::vector<store_row> rows) {
        store_answer reply = answer(std::move(rows), version, false);
        gateway::set_era(reply, era);
        return reply;
    };
    directory.apply(table(1, 2, {member_row("a", 1), member_row("b", 2)}), start, start);
    const auto introduced = gateway::parse_member_record(member_row("c", 3).m_value);
    directory.introduce(*introduced, start + 100ms);
    // Read before it was introduced: it need not be listed.
    directory.apply(table(1, 2, {member_row("a", 1), member_row("b", 2)}), start + 50ms, start + 150ms);
    BOOST_TEST(directory.members().size() == 2U);
    directory.apply(table(2, 2, {member_row("a", 1), member_row("b", 2)}), start + 2s, start + 2s);
    BOOST_TEST(directory.members().size() == 3U);
    BOOST_TEST((member(directory, "c").m_heartbeat_seen_at == start + 2s));
    BOOST_TEST(directory.unregistered_members().size() == 1U);
    directory.apply(table(2, 3, {member_row("a", 1), member_row("b", 2)}), start + 15s, start + 15s);
    BOOST_TEST(directory.members().size() == 2U);
}

/// It removed its row after it introduced itself.
BOOST_AUTO_TEST_CASE(an_introduced_member_that_a_later_read_lacks_has_left) {
    gateway::member_directory directory("a");
    directory.apply(answer({member_row("a", 1)}, 1, false), start, start);
    directory.introduce(*gateway::parse_member_record(member_row("c", 3).m_value), start + 100ms);
    directory.apply(answer({}, 4, true), start + 1s, start + 1s);
    store_answer restored = answer({member_row("a", 1)}, 1, false);
    gateway::set_era(restored, 1);
    directory.apply(restored, start + 2s, start + 2s);
    BOOST_TEST(directory.members().size() == 1U);
}

// The coordinator would not know which commits callers were acknowledged. Rows of the version before name
// none.
BOOST_AUTO_TEST_CASE(a_members_row_keeps_what_it_acknowledged) {
    gateway::member_record record{.m_name = "i1", .m_incarnation = "1"};
    BOOST_TEST((gateway::parse_member_record(gateway::to_text(record)) == record));
    record.m_acknowledged_commits[{"orders"}] = {.m_at_least = {.m_term = 2, .m_offset = 7},
                                                 .m_at_most = {.m_term = 2, .m_offset = 9}};
    BOOST_TEST((gateway::parse_member_record(gateway::to_text(record)) == record));
}
