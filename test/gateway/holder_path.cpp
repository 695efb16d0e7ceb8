/// \file holder_path.cpp
/// Checks which holder a session gets when both hops count. Guards against sessions that cross data centres
/// twice, that use a slow path although another holder is as good, and against any effect at price 0.
#include "anvilmount/decisions/holder_path.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

const std::vector<holder_candidate> holders{{.m_name = "a1", .m_data_centre = {"a"}},
                                            {.m_name = "b1", .m_data_centre = {"b"}},
                                            {.m_name = "b2", .m_data_centre = {"b"}},
                                            {.m_name = "c1", .m_data_centre = {"c"}}};

}

BOOST_AUTO_TEST_CASE(at_price_zero_the_choice_is_that_of_holder_for_session) {
    const holder_paths paths{
        .m_here = {"d"}, .m_upstreams = {{"b"}}, .m_times = {{{"a"}, 1ms}, {{"b"}, 300ms}, {{"c"}, 2ms}}};
    for (const char* here : {"a", "b", "c", "d"}) {
        holder_paths each = paths;
        each.m_here = {here};
        for (std::uint64_t number = 0; number < 50; ++number) {
            BOOST_TEST(holder_by_path(holders, each, number).m_name ==
                       holder_for_session(holders, each.m_here, number).m_name);
        }
    }
}

BOOST_AUTO_TEST_CASE(without_a_nearby_holder_a_session_crosses_only_once) {
    const holder_paths paths{.m_here = {"d"}, .m_upstreams = {{"b"}}, .m_byte_price = 5};
    for (std::uint64_t number = 0; number < 50; ++number) {
        BOOST_TEST(holder_by_path(holders, paths, number).m_data_centre.m_text == "b");
    }
    BOOST_TEST(holder_by_path(holders, paths, 0).m_name != holder_by_path(holders, paths, 1).m_name);
}

BOOST_AUTO_TEST_CASE(a_nearby_holder_is_preferred_among_equal_pairs) {
    const holder_paths paths{.m_here = {"a"}, .m_upstreams = {{"b"}, {"c"}}, .m_byte_price = 5};
    for (std::uint64_t number = 0; number < 50; ++number) {
        BOOST_TEST(holder_by_path(holders, paths, number).m_name == "a1");
    }
}

BOOST_AUTO_TEST_CASE(a_slow_path_to_a_holder_is_passed_over) {
    const holder_paths paths{
        .m_here = {"d"}, .m_upstreams = {{"b"}, {"c"}}, .m_times = {{{"b"}, 80ms}}, .m_byte_price = 5};
    for (std::uint64_t number = 0; number < 50; ++number) {
        BOOST_TEST(holder_by_path(holders, paths, number).m_name == "c1");
    }
}
