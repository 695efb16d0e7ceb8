/// \file replication_proof.cpp
/// Checks that a position is confirmed, and a primary proven to be primary, only
/// on the evidence of a majority. Guards against acknowledging a write that the
/// next primary may lack, and against serving from a replaced primary.
#include "anvilmount/decisions/replication_proof.hpp"
#include "anvilmount/decisions/lineage.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace anvilmount;
using std::chrono::seconds;

namespace {

steady_time at(int second) {
    return steady_time{seconds{second}};
}

std::vector<follower_report> followers(std::uint64_t first_offset, std::uint64_t first_heard,
                                       std::uint64_t second_offset, std::uint64_t second_heard) {
    return {{.m_follower = {"two"}, .m_received = {1, first_offset}, .m_log_requests = first_heard},
            {.m_follower = {"three"}, .m_received = {1, second_offset}, .m_log_requests = second_heard}};
}

}

BOOST_AUTO_TEST_CASE(a_position_held_by_one_of_two_followers_is_confirmed) {
    replication_proof proof(3);
    BOOST_TEST(proof.confirmed({1, 10}).m_offset == 0U);
    proof.on_report({1, 10}, followers(7, 1, 9, 1), at(1));
    BOOST_TEST(proof.confirmed({1, 10}).m_offset == 9U);
    BOOST_TEST(proof.confirmed({1, 8}).m_offset == 8U);
}

BOOST_AUTO_TEST_CASE(in_a_group_of_five_two_followers_confirm_a_position) {
    replication_proof proof(5);
    std::vector<follower_report> all = followers(9, 1, 7, 1);
    all.push_back({.m_follower = {"four"}, .m_received = {1, 3}, .m_log_requests = 1});
    all.push_back({.m_follower = {"five"}, .m_received = {1, 0}, .m_log_requests = 0});
    proof.on_report({1, 10}, all, at(1));
    BOOST_TEST(proof.confirmed({1, 10}).m_offset == 7U);
}

BOOST_AUTO_TEST_CASE(a_primary_without_followers_confirms_by_itself) {
    replication_proof proof(1);
    BOOST_TEST(proof.confirmed({1, 10}).m_offset == 10U);
    proof.on_report({1, 10}, {}, at(1));
    BOOST_TEST((proof.proven()->m_at == at(1)));
}

BOOST_AUTO_TEST_CASE(a_log_request_proves_the_primary_as_of_the_previous_report) {
    replication_proof proof(3);
    proof.on_report({1, 10}, followers(10, 5, 10, 5), at(1));
    BOOST_TEST(!proof.proven().has_value());
    proof.on_report({1, 12}, followers(12, 6, 10, 5), at(2));
    BOOST_TEST((proof.proven()->m_at == at(1)));
    BOOST_TEST(proof.proven()->m_position.m_offset == 10U);
    // No follower requested the log: later reports alone prove nothing.
    proof.on_report({1, 12}, followers(12, 6, 10, 5), at(3));
    proof.on_report({1, 12}, followers(12, 6, 10, 5), at(9));
    BOOST_TEST((proof.proven()->m_at == at(1)));
    proof.on_report({1, 12}, followers(12, 6, 10, 6), at(10));
    BOOST_TEST((proof.proven()->m_at == at(9)));
}

BOOST_AUTO_TEST_CASE(a_new_term_discards_all_proofs) {
    replication_proof proof(3);
    proof.on_report({1, 10}, followers(10, 5, 10, 5), at(1));
    proof.on_report({1, 10}, followers(10, 6, 10, 6), at(2));
    proof.reset();
    BOOST_TEST(!proof.proven().has_value());
    BOOST_TEST(proof.confirmed({2, 11}).m_offset == 0U);
}

BOOST_AUTO_TEST_CASE(a_position_at_or_after_the_start_of_the_next_term_is_lost) {
    const std::vector<term_start> history{{1, 1}, {3, 46}, {4, 60}};
    BOOST_TEST(is_in_lineage({1, 45}, history));
    BOOST_TEST(!is_in_lineage({1, 46}, history));
    BOOST_TEST(!is_in_lineage({2, 46}, history));
    BOOST_TEST(is_in_lineage({2, 45}, history));
    BOOST_TEST(is_in_lineage({3, 59}, history));
    BOOST_TEST(!is_in_lineage({3, 60}, history));
    BOOST_TEST(is_in_lineage({4, 1000}, history));
    BOOST_TEST(is_in_lineage({9, 1}, history));
}
