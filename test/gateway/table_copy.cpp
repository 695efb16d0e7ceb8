/// \file table_copy.cpp
/// A copy that is kept by deltas equals the table, and so does a second copy that is kept by the
/// deltas of the first.
#include "anvilmount/gateway/table_copy.hpp"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace anvilmount;
using gateway::store_answer;
using gateway::store_row;
using gateway::store_status;

namespace {

store_row row(const std::string& key, std::uint64_t version, const std::string& value = "x") {
    return {.m_table = "t", .m_key = key, .m_value = value, .m_version = {.m_number = version}};
}

store_row removal(const std::string& key, std::uint64_t version) {
    return {.m_table = "t", .m_key = key, .m_version = {.m_number = version}, .m_removed = true};
}

store_answer snapshot(std::vector<store_row> rows, std::uint64_t version) {
    return {.m_status = store_status::done, .m_rows = std::move(rows), .m_version = {.m_number = version}};
}

store_answer delta(std::vector<store_row> rows, std::uint64_t version) {
    store_answer made = snapshot(std::move(rows), version);
    made.m_is_delta = true;
    return made;
}

}

BOOST_AUTO_TEST_CASE(a_delta_changes_only_its_rows) {
    gateway::table_copy copy;
    BOOST_TEST(copy.apply(snapshot({row("a", 1), row("b", 2)}, 2)));
    BOOST_TEST(copy.apply(delta({row("b", 3, "y"), row("c", 4)}, 4)));
    BOOST_TEST(copy.rows().size() == 3U);
    BOOST_TEST(copy.rows().at("b").m_value == "y");
    BOOST_TEST(!copy.apply(delta({}, 9)));
    BOOST_TEST(copy.version().m_number == 9U);
}

BOOST_AUTO_TEST_CASE(an_older_row_or_removal_changes_nothing) {
    gateway::table_copy copy;
    copy.apply(snapshot({row("a", 5, "new")}, 5));
    BOOST_TEST(!copy.apply(delta({row("a", 3, "old"), removal("a", 4)}, 5)));
    BOOST_TEST(copy.rows().at("a").m_value == "new");
}

BOOST_AUTO_TEST_CASE(a_delta_names_removed_rows) {
    gateway::table_copy copy;
    copy.apply(snapshot({row("a", 1), row("b", 2)}, 2));
    copy.apply(delta({removal("a", 3)}, 3));
    const auto changes = copy.changes_since({.m_number = 2});
    BOOST_REQUIRE(changes.has_value());
    BOOST_REQUIRE(changes->size() == 1U);
    BOOST_TEST(changes->at(0).m_removed);
    BOOST_TEST(changes->at(0).m_key == "a");
}

BOOST_AUTO_TEST_CASE(no_delta_is_made_for_versions_from_before_the_copy) {
    gateway::table_copy copy;
    copy.apply(snapshot({row("a", 1)}, 8));
    BOOST_TEST(!copy.changes_since({.m_number = 7}).has_value());
    BOOST_TEST(copy.changes_since({.m_number = 8}).has_value());
}

/// Rows come, change and go; two readers take the deltas of the first copy at random times, one of
/// them rarely, so that removals are forgotten in between.
BOOST_AUTO_TEST_CASE(readers_of_deltas_end_with_the_same_rows) {
    std::mt19937 random(20261204);
    std::map<std::string, store_row> truth;
    std::uint64_t version = 1;
    gateway::table_copy first;
    first.apply(snapshot({}, version));
    std::array<gateway::table_copy, 2> readers;
    for (auto& each : readers) {
        each.apply(snapshot({}, version));
    }
    for (int step = 0; step < 20000; ++step) {
        const std::string key = "k" + std::to_string(random() % 600);
        ++version;
        store_row changed = row(key, version, std::to_string(version));
        if (random() % 3 == 0) {
            changed = removal(key, version);
            truth.erase(key);
        } else {
            truth[key] = changed;
        }
        first.apply(delta({changed}, version));
        for (std::size_t reader = 0; reader < readers.size(); ++reader) {
            if (random() % (reader == 0 ? 20 : 3000) != 0 && step != 19999) {
                continue;
            }
            const auto changes = first.changes_since(readers[reader].version());
            std::vector<store_row> all;
            for (const auto& [name, each] : first.rows()) {
                all.push_back(each);
            }
            readers[reader].apply(changes ? delta(*changes, version) : snapshot(all, version));
            BOOST_REQUIRE(readers[reader].rows().size() == truth.size());
        }
    }
    for (const auto& each : readers) {
        for (const auto& [name, expected] : truth) {
            BOOST_REQUIRE(each.rows().contains(name));
            BOOST_TEST((each.rows().at(name).m_version == expected.m_version));
        }
    }
}
