/// \file many_callers.cpp
/// 250 callers run 40 statements each through six instances and change the instance after every
/// eighth. Guards against answers that reach the wrong caller, writes that a moved session does
/// not read, and more connections than an upstream allows.
#include "load/mixed_load.hpp"
#include "support/fleet.hpp"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_CASE(answers_match_their_requests_and_connections_stay_within_the_limit) {
    const test::fleet fleet({.m_instances = 6, .m_upstream_settings = {"--lag_ms", "5"}});
    std::vector<std::string> callers;
    for (int number = 0; number < 6; ++number) {
        callers.push_back(fleet.caller(number));
    }
    const nlohmann::json result = standin::run_mixed_load({.m_caller_addresses = callers,
                                                           .m_group = "orders",
                                                           .m_connections = 250,
                                                           .m_statements = 40,
                                                           .m_roam_every = 8,
                                                           .m_seed = 20261204});
    BOOST_TEST_MESSAGE(result.dump());
    BOOST_TEST(result["statements"].get<long>() >= 10000);
    BOOST_TEST(result["errors"].get<long>() == 0);
    BOOST_TEST(result["mismatches"].get<long>() == 0);
    BOOST_TEST(result["roams"].get<long>() == 250 * 5);
    for (int number = 0; number < 3; ++number) {
        const auto state = fleet.upstream_state(number);
        BOOST_TEST(state.at("refused_connections") == "0");
        // The proxy opens at most 20 connections; the others are those of replicas and of this test.
        BOOST_TEST(std::stoi(state.at("greatest_connections")) <= 20 + 3);
    }
}
