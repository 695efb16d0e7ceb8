/// \file quota_share.cpp
/// Checks the division of quotas and the token bucket. Guards against shares whose sum exceeds the window
/// for some rate, against quotas that refuse an account below its limit, and against tokens saved up by
/// operations that are refused again and again.
#include "anvilmount/decisions/quota_share.hpp"
#include "anvilmount/decisions/token_bucket.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <array>
#include <vector>

using namespace anvilmount;

namespace {

constexpr steady_time start{std::chrono::hours{1}};
constexpr std::array rates{0.0,  0.5,  1.0,  2.0,   5.0,   10.0,   19.0, 19.99,
                           20.0, 21.0, 50.0, 100.0, 400.0, 3000.0, 1e5};
constexpr std::array bursts{0.0, 0.5, 1.0, 3.0, 20.0, 100.0, 5000.0};

double limit_of(const account_quota& quota, const quota_window& window) {
    return (quota.m_rate * std::chrono::duration<double>(window.m_length).count() + quota.m_burst) *
               (1 + window.m_overage) +
           window.m_slack;
}

}

BOOST_AUTO_TEST_CASE(the_sum_of_all_shares_stays_inside_the_window_for_every_rate) {
    const std::array windows{quota_window{}, quota_window{.m_overage = 0, .m_slack = 0},
                             quota_window{.m_overage = 0, .m_slack = 20},
                             quota_window{.m_length = milliseconds{1000}, .m_overage = 0.5, .m_slack = 1}};
    for (const quota_window& window : windows) {
        for (const double rate : rates) {
            for (const double burst : bursts) {
                for (std::size_t size = 1; size <= 14; ++size) {
                    const account_quota quota{.m_rate = rate, .m_burst = burst};
                    const home_counts counts = count_homes(quota, window, size);
                    BOOST_REQUIRE(counts.m_homes + counts.m_alternates <= size);
                    double most = 0;
                    for (std::size_t position = 0; position < size; ++position) {
                        const quota_share share = share_of_quota(quota, window, counts, position);
                        BOOST_REQUIRE(share.m_rate >= 0);
                        BOOST_REQUIRE(share.m_capacity >= 0);
                        most += share.m_capacity + share.m_rate * std::chrono::duration<double>(
                                                                      window.m_length + max_operation_delay)
                                                                      .count();
                    }
                    BOOST_REQUIRE(most <= limit_of(quota, window) + 1e-6);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(the_shares_of_the_specification) {
    const quota_window window;
    const account_quota large{.m_rate = 100, .m_burst = 100};
    BOOST_TEST((count_homes(large, window, 8) == home_counts{.m_homes = 4}));
    const quota_share quarter = share_of_quota(large, window, count_homes(large, window, 8), 3);
    BOOST_TEST(quarter.m_rate == 27.5, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(quarter.m_capacity == 15.0, boost::test_tools::tolerance(1e-9));
    const account_quota small{.m_rate = 10, .m_burst = 10};
    const home_counts counts = count_homes(small, window, 8);
    BOOST_TEST((counts == home_counts{.m_homes = 1, .m_alternates = 1}));
    BOOST_TEST(share_of_quota(small, window, counts, 0).m_rate == 10.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(share_of_quota(small, window, counts, 0).m_capacity == 11.0,
               boost::test_tools::tolerance(1e-9));
    BOOST_TEST(share_of_quota(small, window, counts, 1).m_rate == 1.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(share_of_quota(small, window, counts, 1).m_capacity == 4.0);
    BOOST_TEST((share_of_quota(small, window, counts, 2) == quota_share{}));
}

BOOST_AUTO_TEST_CASE(all_homes_together_have_the_whole_rate) {
    // With the overage and slack of the platform, no quota is cut to keep the window.
    for (const double rate : rates) {
        for (const double burst : bursts) {
            const account_quota quota{.m_rate = rate, .m_burst = burst};
            const home_counts counts = count_homes(quota, {}, 8);
            double sum = 0;
            for (std::size_t position = 0; position < counts.m_homes; ++position) {
                sum += share_of_quota(quota, {}, counts, position).m_rate;
            }
            BOOST_TEST(sum >= rate * (1 - 1e-9));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_bucket_begins_empty_and_a_greater_capacity_adds_no_tokens) {
    token_bucket bucket(max_operation_delay);
    bucket.set_limits(10, 5, start);
    BOOST_TEST(!bucket.take(start));
    BOOST_TEST((bucket.next_token_at(start, milliseconds{1000}) == start + milliseconds{101}));
    BOOST_TEST(bucket.take(start + milliseconds{101}));
    bucket.set_limits(0, 50, start + milliseconds{101});
    BOOST_TEST(!bucket.take(start + milliseconds{5000}));
    BOOST_TEST((bucket.next_token_at(start, milliseconds{1000}) == start + milliseconds{1000}));
}

BOOST_AUTO_TEST_CASE(a_smaller_capacity_takes_tokens_away) {
    token_bucket bucket(max_operation_delay);
    bucket.set_limits(10, 20, start);
    bucket.set_limits(10, 4, start + milliseconds{10000});
    BOOST_TEST(bucket.level(start + milliseconds{10000}) == 4.0);
}

BOOST_AUTO_TEST_CASE(a_token_is_given_back_while_its_operation_may_still_arrive) {
    token_bucket bucket(max_operation_delay);
    bucket.set_limits(1, 1, start);
    const steady_time taken = start + milliseconds{1000};
    BOOST_REQUIRE(bucket.take(taken));
    bucket.give_back(taken, taken + milliseconds{100});
    BOOST_TEST(bucket.take(taken + milliseconds{100}));
    bucket.give_back(taken + milliseconds{100}, taken + milliseconds{700});
    BOOST_TEST(!bucket.take(taken + milliseconds{700}));
}

BOOST_AUTO_TEST_CASE(refused_operations_do_not_save_up_tokens) {
    // Every operation is refused after 400 ms and its token given back; then all that remains runs at once.
    token_bucket bucket(max_operation_delay);
    bucket.set_limits(10, 10, start);
    steady_time now = start + milliseconds{1000};
    std::vector<steady_time> open;
    for (int round = 0; round < 20; ++round) {
        while (bucket.take(now)) {
            open.push_back(now);
        }
        now += milliseconds{200};
        while (!open.empty() && now >= open.front() + milliseconds{400}) {
            bucket.give_back(open.front(), now);
            open.erase(open.begin());
        }
    }
    BOOST_TEST(bucket.level(now) + static_cast<double>(open.size()) <= 10 + 10 * 0.5 + 1e-6);
}

BOOST_AUTO_TEST_CASE(a_bucket_keeps_its_bound_in_every_window) {
    rc::check([] {
        const double rate = *rc::gen::inRange(1, 200);
        const double capacity = *rc::gen::inRange(1, 40);
        token_bucket bucket(max_operation_delay);
        bucket.set_limits(rate, capacity, start);
        std::vector<int> taken;
        steady_time now = start;
        for (int step = 0; step < 120; ++step) {
            now += milliseconds{50};
            int wanted = *rc::gen::inRange(0, 30);
            int got = 0;
            while (wanted-- > 0 && bucket.take(now)) {
                ++got;
            }
            taken.push_back(got);
        }
        for (std::size_t from = 0; from < taken.size(); ++from) {
            int sum = 0;
            for (std::size_t to = from; to < taken.size(); ++to) {
                sum += taken[to];
                RC_ASSERT(sum <= capacity + rate * 0.05 * static_cast<double>(to - from) + 1e-3);
            }
        }
    });
}
