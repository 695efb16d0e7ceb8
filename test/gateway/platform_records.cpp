/// \file platform_records.cpp
/// Tests the decoding of the platform's configuration and registrations. A malformed
/// registration must not hide the others.
#include "platform_records.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using gateway::consistency;

namespace {

const std::string good_registration =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"gt-a","version":"v1","capacity":3,"state":"ready",)"
    R"("coldRemainingMs":0,"dbRole":"replica","sequence":4,"born":17})";

std::map<std::string, gateway::store_row> rows_with(const std::string& value) {
    return {{"good", {.m_value = good_registration}}, {"other", {.m_value = value}}};
}

struct bad_registration {
    const char* m_description;
    const char* m_value;
};

constexpr bad_registration bad_registrations[] = {
    {"not JSON", "\xff\xfe"},
    {"no service",
     R"({"address":"10.0.0.1:1","zone":"z","capacity":3,"state":"ready","dbRole":"replica"})"},
    {"unknown state",
     R"({"service":"s","address":"10.0.0.1:1","zone":"z","capacity":3,"state":"odd","dbRole":"replica"})"},
    {"unknown role",
     R"({"service":"s","address":"10.0.0.1:1","zone":"z","capacity":3,"state":"ready","dbRole":"king"})"},
    {"bad address",
     R"({"service":"s","address":"nowhere","zone":"z","capacity":3,"state":"ready","dbRole":"replica"})"},
    {"capacity a text",
     R"({"service":"s","address":"10.0.0.1:1","zone":"z","capacity":"3","state":"ready","dbRole":"replica"})"},
    {"start not whole",
     R"({"service":"s","address":"10.0.0.1:1","zone":"z","capacity":3,"state":"ready","dbRole":"replica","born":1.5})"},
    {"a list", "[1,2]"},
};

}

BOOST_AUTO_TEST_CASE(a_registration_is_decoded) {
    const auto registry = decode_registrations({{"i-7", {.m_value = good_registration}}});
    const gateway::upstream_entry& entry = registry.at({"i-7"});
    BOOST_TEST(entry.m_group.m_text == "huvo11a");
    BOOST_TEST(to_string(entry.m_address) == "10.128.0.9:8080");
    BOOST_TEST(entry.m_data_centre.m_text == "gt-a");
    BOOST_TEST(entry.m_slots == 3);
    BOOST_TEST(!entry.m_leaving);
    BOOST_TEST(!entry.m_registered_as_primary);
    BOOST_TEST(entry.m_started_at_ms == 17);
}

BOOST_AUTO_TEST_CASE(a_malformed_registration_is_omitted_and_the_others_are_kept) {
    for (const bad_registration& each : bad_registrations) {
        BOOST_TEST_CONTEXT(each.m_description) {
            const auto registry = decode_registrations(rows_with(each.m_value));
            BOOST_TEST(registry.size() == 1U);
            BOOST_TEST(registry.contains({"good"}));
        }
    }
}

// The route of unknown type is omitted; priorities 0 and 9 become the ranks 1 and 3.
BOOST_AUTO_TEST_CASE(a_configuration_is_decoded) {
    const auto read = decode_configuration(
        R"({"version":7,"routes":[)"
        R"({"name":"r1","host":"pay","prefix":"/","type":"primary","timeoutMs":1000,"targetLatencyMs":200,"priority":0,"service":"s"},)"
        R"({"name":"r2","host":"scan","type":"read_your_writes","timeoutMs":900,"priority":1,"service":"s","maxStalenessMs":2500},)"
        R"({"name":"r3","host":"look","type":"bounded_staleness","timeoutMs":2000,"priority":9,"service":"s","maxStalenessMs":1500},)"
        R"({"name":"r4","host":"odd","type":"sideways","timeoutMs":2000,"service":"s"}],)"
        R"("services":[{"name":"s","maxConnections":21,"syncReplicas":1},{"name":"t","maxConnections":5}],"limits":{"txIdleMs":3000}})");
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->m_revision == 7U);
    BOOST_TEST(read->m_routes.size() == 3U);
    BOOST_TEST((read->m_routes.at("pay").m_consistency == consistency::strong));
    BOOST_TEST(read->m_routes.at("pay").m_class.m_rank == 1);
    BOOST_TEST(read->m_routes.at("pay").m_latency_target.count() == 200);
    BOOST_TEST((read->m_routes.at("scan").m_consistency == consistency::read_your_writes));
    BOOST_TEST(read->m_routes.at("scan").m_class.m_max_staleness->count() == 2500);
    BOOST_TEST(read->m_routes.at("look").m_class.m_rank == 3);
    BOOST_TEST(read->m_services.at({"s"}).m_max_connections == 21);
    BOOST_TEST(read->m_services.at({"s"}).m_synchronous_replicas == 1);
    BOOST_TEST(read->m_services.at({"t"}).m_synchronous_replicas == 0);
    BOOST_TEST(read->m_idle_transaction_timeout.count() == 3000);
}

BOOST_AUTO_TEST_CASE(a_malformed_configuration_is_rejected) {
    for (const char* text : {"", "{", "[]", R"({"version":"x"})", R"({"version":7})"}) {
        BOOST_TEST(!decode_configuration(text).has_value());
    }
}

// Without accounts every caller of the deployment would be served; without the public flag none would be.
BOOST_AUTO_TEST_CASE(client_accounts_and_public_routes_are_decoded) {
    const auto decoded = decode_configuration(
        R"({"version":7,"routes":[{"host":"open","type":"primary","service":"s","timeoutMs":800,"public":true},)"
        R"({"host":"keyed","type":"primary","service":"s","timeoutMs":800}],"services":[],"limits":{},)"
        R"("tenants":[{"name":"miny","apiKeys":["k1","k2"],"priority":1,"ratePerS":335,"burstSize":40},)"
        R"({"name":"free","apiKeys":[]}]})");
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->m_routes.at("open").m_is_public);
    BOOST_TEST(!decoded->m_routes.at("keyed").m_is_public);
    BOOST_TEST(decoded->m_account_keys.at("k1") == "miny");
    BOOST_TEST(decoded->m_account_keys.at("k2") == "miny");
    BOOST_TEST(decoded->m_accounts.at("miny").m_operations_per_second.value() == 335);
    BOOST_TEST(decoded->m_accounts.at("miny").m_burst == 40);
    BOOST_TEST(!decoded->m_accounts.at("free").m_operations_per_second.has_value());
}

// A deployment whose priorities start at 1 had no route of the most urgent rank, and its two lower
// priorities shared one rank.
BOOST_AUTO_TEST_CASE(ranks_follow_the_order_of_the_priorities_in_the_configuration) {
    const auto decoded = decode_configuration(
        R"({"version":7,"routes":[{"host":"posting","type":"primary","service":"s","timeoutMs":800,"priority":1},)"
        R"({"host":"view","type":"primary","service":"s","timeoutMs":800,"priority":2}],)"
        R"("services":[],"limits":{}})");
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->m_routes.at("posting").m_class.m_rank == 1);
    BOOST_TEST(decoded->m_routes.at("view").m_class.m_rank == 2);
}
