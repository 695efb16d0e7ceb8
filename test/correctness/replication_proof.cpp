/// \file replication_proof.cpp
/// A position counts as safe, and a primary as leading, only with a majority's
/// word for it.
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

BOOST_AUTO_TEST_CASE(a_position_is_confirmed_by_one_of_two_followers) {
    replication_proof proof(3);
    BOOST_TEST(proof.confirmed({1, 10}).m_offset == 0U);
    proof.on_report({1, 10}, followers(7, 1, 9, 1), at(1));
    BOOST_TEST(proof.confirmed({1, 10}).m_offset == 9U);
    BOOST_TEST(proof.confirmed({1, 8}).m_offset == 8U);
}

BOOST_AUTO_TEST_CASE(five_members_need_two_followers) {
    replication_proof proof(5);
    std::vector<follower_report> all = followers(9, 1, 7, 1);
    all.push_back({.m_follower = {"four"}, .m_received = {1, 3}, .m_log_requests = 1});
    all.push_back({.m_follower = {"five"}, .m_received = {1, 0}, .m_log_requests = 0});
    proof.on_report({1, 10}, all, at(1));
    BOOST_TEST(proof.confirmed({1, 10}).m_offset == 7U);
}

BOOST_AUTO_TEST_CASE(a_primary_alone_needs_nobody) {
    replication_proof proof(1);
    BOOST_TEST(proof.confirmed({1, 10}).m_offset == 10U);
    proof.on_report({1, 10}, {}, at(1));
    BOOST_TEST((proof.proven()->m_at == at(1)));
}

BOOST_AUTO_TEST_CASE(leading_is_proven_for_the_moment_before_a_follower_was_heard_again) {
    replication_proof proof(3);
    proof.on_report({1, 10}, followers(10, 5, 10, 5), at(1));
    BOOST_TEST(!proof.proven().has_value());
    proof.on_report({1, 12}, followers(12, 6, 10, 5), at(2));
    BOOST_TEST((proof.proven()->m_at == at(1)));
    BOOST_TEST(proof.proven()->m_position.m_offset == 10U);
    // Nobody was heard from: time passes and proves nothing.
    proof.on_report({1, 12}, followers(12, 6, 10, 5), at(3));
    proof.on_report({1, 12}, followers(12, 6, 10, 5), at(9));
    BOOST_TEST((proof.proven()->m_at == at(1)));
    proof.on_report({1, 12}, followers(12, 6, 10, 6), at(10));
    BOOST_TEST((proof.proven()->m_at == at(9)));
}

BOOST_AUTO_TEST_CASE(a_new_term_proves_afresh) {
    replication_proof proof(3);
    proof.on_report({1, 10}, followers(10, 5, 10, 5), at(1));
    proof.on_report({1, 10}, followers(10, 6, 10, 6), at(2));
    proof.reset();
    BOOST_TEST(!proof.proven().has_value());
    BOOST_TEST(proof.confirmed({2, 11}).m_offset == 0U);
}

BOOST_AUTO_TEST_CASE(a_position_beyond_the_parting_of_terms_is_lost) {
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
