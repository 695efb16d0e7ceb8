/// \file configuration.cpp
/// Guards against an accepted configuration that is lost, applied twice or replaced
/// by an older one: when the platform loses replies or is down, or when two
/// operators apply changes at the same time.
#include "load/pg_session.hpp"
#include "support/fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <cstdio>

using test::eventually;
using test::finished_program;
using test::fleet;

namespace {

/// A temporary file with a configuration; the destructor removes it.
class configuration_file {
public:
    explicit configuration_file(const std::string& text)
        : m_name("/tmp/anvilmount-record-" + std::to_string(getpid()) + ".json") {
        FILE* out = std::fopen(m_name.c_str(), "w");
        std::fputs(text.c_str(), out);
        std::fclose(out);
    }
    ~configuration_file() { unlink(m_name.c_str()); }
    configuration_file(const configuration_file&) = delete;
    configuration_file& operator=(const configuration_file&) = delete;

    [[nodiscard]] const std::string& name() const { return m_name; }

private:
    std::string m_name;
};

finished_program apply(const fleet& test_fleet, const nlohmann::json& configuration_json,
                       std::vector<std::string> options, int instance = 0) {
    const configuration_file file(configuration_json.dump());
    std::vector<std::string> arguments{"apply", file.name(), "--server", test_fleet.operators(instance)};
    arguments.insert(arguments.end(), options.begin(), options.end());
    return test::run_program(test::program("anvilmountctl"), arguments);
}

int revision_at(const fleet& test_fleet, int number) {
    const nlohmann::json state = test_fleet.dump(number);
    return state.is_object() ? state["configuration"]["revision"].get<int>() : -1;
}

nlohmann::json with_slots(const fleet& test_fleet, int slots) {
    nlohmann::json configuration_json = test_fleet.configuration();
    configuration_json["groups"][0]["upstreams"][0]["slots"] = slots;
    return configuration_json;
}

}

BOOST_AUTO_TEST_CASE(apply_waits_until_every_instance_has_the_revision) {
    const fleet test_fleet({.m_instances = 3});
    const auto applied = apply(test_fleet, with_slots(test_fleet, 2), {"--wait"}, 1);
    BOOST_TEST_CONTEXT(applied.m_output) {
        BOOST_TEST(applied.m_exit_code == 0);
    }
    for (int number = 0; number < 3; ++number) {
        BOOST_TEST(revision_at(test_fleet, number) == 2);
    }
}

BOOST_AUTO_TEST_CASE(a_change_whose_reply_is_lost_is_applied_once) {
    const fleet test_fleet({.m_instances = 2});
    for (const int lost : {1, 2}) {
        test_fleet.platform_fault("{\"lose_answers\":" + std::to_string(lost) + "}");
        const auto applied =
            apply(test_fleet, with_slots(test_fleet, lost), {"--wait", "--timeout_ms", "20000"});
        BOOST_TEST_CONTEXT(applied.m_output) {
            BOOST_TEST(applied.m_exit_code == 0);
        }
        BOOST_TEST(revision_at(test_fleet, 0) == 1 + lost);
        BOOST_TEST(revision_at(test_fleet, 1) == 1 + lost);
    }
}

BOOST_AUTO_TEST_CASE(the_second_of_two_concurrent_changes_is_refused) {
    const fleet test_fleet({.m_instances = 2});
    BOOST_TEST(apply(test_fleet, with_slots(test_fleet, 2), {"--expected", "1"}).m_exit_code == 0);
    const auto second = apply(test_fleet, with_slots(test_fleet, 1), {"--expected", "1"}, 1);
    BOOST_TEST(second.m_exit_code == 1);
    BOOST_TEST(second.m_output.find("1502 configuration_conflict") != std::string::npos);
    BOOST_TEST(second.m_output.find("revision 2") != std::string::npos);
    BOOST_TEST(eventually([&] { return revision_at(test_fleet, 1) == 2; }));
}

BOOST_AUTO_TEST_CASE(an_invalid_configuration_is_refused_and_the_field_is_named) {
    const fleet test_fleet({.m_instances = 1});
    const auto refused = apply(test_fleet, with_slots(test_fleet, -1), {});
    BOOST_TEST(refused.m_exit_code == 1);
    BOOST_TEST(refused.m_output.find("1501 bad_configuration: groups[0].upstreams[0].slots is -1") !=
               std::string::npos);
    BOOST_TEST(revision_at(test_fleet, 0) == 1);
}

BOOST_AUTO_TEST_CASE(the_applied_configuration_stays_in_force_while_the_platform_is_down) {
    const fleet test_fleet({.m_instances = 1});
    BOOST_REQUIRE(apply(test_fleet, with_slots(test_fleet, 2), {"--wait"}).m_exit_code == 0);
    test_fleet.platform_fault(R"({"down":true})");
    const auto refused = apply(test_fleet, with_slots(test_fleet, 1), {"--timeout_ms", "15000"});
    BOOST_TEST(refused.m_exit_code == 1);
    BOOST_TEST(refused.m_output.find("1401 platform_unavailable") != std::string::npos);
    BOOST_TEST(revision_at(test_fleet, 0) == 2);
    BOOST_TEST(standin::pg_session(test_fleet.caller(), "orders").run("SELECT 1").value() == "1");
}
