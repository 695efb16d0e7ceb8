/// \file bad_settings.cpp
/// Tests that a process with an invalid setting exits with code 2 before it serves, and
/// reports the setting, its value and the allowed values.
#include "support/fleet.hpp"

#include <boost/test/unit_test.hpp>

namespace {

struct bad_setting {
    const char* m_flag;
    const char* m_value;
    const char* m_allowed;
};

constexpr bad_setting bad_settings[] = {
    {"callers", "nowhere", "IP:PORT"},
    {"callers", "127.0.0.1:70000", "IP:PORT"},
    {"peers", "", "IP:PORT"},
    {"shards", "0", "1 to 64 threads"},
    {"shards", "65", "1 to 64 threads"},
    {"most_callers", "-5", "1 to 1000000 connections"},
    {"platform_pace_ms", "5", "3600000 ms"},
    {"log_level", "loud", "debug, info"},
    {"id", "a b", "letters"},
};

std::vector<std::string> arguments_with(const std::string& flag, const std::string& value) {
    std::vector<std::string> arguments{"--id=a", "--data_centre=b"};
    arguments.push_back("--" + flag + "=" + value);
    return arguments;
}

}

BOOST_AUTO_TEST_CASE(an_invalid_setting_prevents_the_start_and_is_reported) {
    for (const bad_setting& each : bad_settings) {
        BOOST_TEST_CONTEXT(each.m_flag << "=" << each.m_value) {
            const auto process =
                test::run_program(test::program("anvilmountd"), arguments_with(each.m_flag, each.m_value));
            BOOST_TEST(process.m_exit_code == 2);
            BOOST_TEST(process.m_output.find("--" + std::string(each.m_flag)) != std::string::npos);
            BOOST_TEST(process.m_output.find("'" + std::string(each.m_value) + "'") != std::string::npos);
            BOOST_TEST(process.m_output.find(each.m_allowed) != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_environment_is_validated_and_flags_take_precedence_over_it) {
    const auto process = test::run_program(test::program("anvilmountd"), {"--id=a", "--data_centre=b"},
                                           "ANVILMOUNT_SHARDS=0");
    BOOST_TEST(process.m_exit_code == 2);
    BOOST_TEST(process.m_output.find("ANVILMOUNT_SHARDS") != std::string::npos);
    const auto other = test::run_program(test::program("anvilmountd"), arguments_with("log_level", "loud"),
                                         "ANVILMOUNT_LOG_LEVEL=info");
    BOOST_TEST(other.m_output.find("'loud'") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_unknown_setting_is_reported_by_name) {
    const auto process =
        test::run_program(test::program("anvilmountd"), {"--id=a", "--data_centre=b", "--colour=red"});
    BOOST_TEST(process.m_exit_code == 2);
    BOOST_TEST(process.m_output.find("--colour") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(help_lists_every_setting_by_group) {
    for (const char* name : {"anvilmountd", "anvilmountctl"}) {
        const auto process = test::run_program(test::program(name), {"--help"});
        BOOST_TEST(process.m_exit_code == 0);
        BOOST_TEST(process.m_output.find("environment: ANVILMOUNT_") != std::string::npos);
    }
}
