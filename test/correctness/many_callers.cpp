/// \file many_callers.cpp
/// Thousands of statements at once through six instances: every answer belongs
/// to its request, sessions that move still read their writes, and upstreams
/// never see more connections than they allow.
#include "load/mixed_load.hpp"
#include "support/fleet.hpp"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_CASE(every_answer_belongs_to_its_request) {
    const test::fleet fleet({.m_instances = 6, .m_upstream_settings = {"--lag_ms", "5"}});
    std::vector<std::string> callers;
    for (int number = 0; number < 6; ++number) {
        callers.push_back(fleet.caller(number));
    }
    const nlohmann::json done = standin::run_mixed_load({.m_caller_addresses = callers,
                                                         .m_group = "orders",
                                                         .m_connections = 250,
                                                         .m_statements = 40,
                                                         .m_roam_every = 8,
                                                         .m_seed = 20261204});
    BOOST_TEST_MESSAGE(done.dump());
    BOOST_TEST(done["statements"].get<long>() >= 10000);
    BOOST_TEST(done["errors"].get<long>() == 0);
    BOOST_TEST(done["mismatches"].get<long>() == 0);
    BOOST_TEST(done["roams"].get<long>() == 250 * 5);
    for (int number = 0; number < 3; ++number) {
        const auto state = fleet.upstream_state(number);
        BOOST_TEST(state.at("refused_connections") == "0");
        // Replicas and this test itself connect too; the proxy's part is at most 20.
        BOOST_TEST(std::stoi(state.at("greatest_connections")) <= 20 + 3);
    }
}
