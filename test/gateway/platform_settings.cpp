/// \file platform_settings.cpp
/// Tests that settings from the flags file are validated like those from the command
/// line, that errors name the setting, and that the command line takes precedence.
#include "support/fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <fstream>

namespace {

std::string settings_file(const std::string& name, const std::string& text) {
    const std::string path = "/tmp/anvilmount-settings-" + std::to_string(getpid()) + "-" + name;
    std::ofstream(path) << text;
    return path;
}

const std::string valid_lines = "--name=a\n--data_centre=b\n--callers=127.0.0.1:1\nnote that is no flag\n";

}

BOOST_AUTO_TEST_CASE(a_malformed_value_in_the_file_prevents_the_start) {
    const std::string path = settings_file("bad", valid_lines + "--grace_s=none\n");
    const auto process =
        test::run_program(test::program("anvilmount-gateway"), {}, "ANVILMOUNT_BOOT=" + path);
    BOOST_TEST(process.m_exit_code != 0);
}

BOOST_AUTO_TEST_CASE(an_out_of_range_setting_is_reported_with_the_allowed_range) {
    const std::string path = settings_file("range", valid_lines + "--grace_s=0\n");
    const auto process =
        test::run_program(test::program("anvilmount-gateway"), {}, "ANVILMOUNT_BOOT=" + path);
    BOOST_TEST(process.m_exit_code == 2);
    BOOST_TEST(process.m_output.find("error 1601") != std::string::npos);
    BOOST_TEST(process.m_output.find("--grace_s") != std::string::npos);
    BOOST_TEST(process.m_output.find("1 to 3600 s") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_negative_processor_share_is_reported_with_the_allowed_range) {
    const std::string path = settings_file("share", valid_lines + "--processor_share=-0.5\n");
    const auto process =
        test::run_program(test::program("anvilmount-gateway"), {}, "ANVILMOUNT_BOOT=" + path);
    BOOST_TEST(process.m_exit_code == 2);
    BOOST_TEST(process.m_output.find("error 1601") != std::string::npos);
    BOOST_TEST(process.m_output.find("0 to 1024 cores") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_advertised_host_with_a_port_is_reported_with_the_allowed_form) {
    const std::string path = settings_file("host", valid_lines + "--advertised_host=127.0.0.2:1\n");
    const auto process =
        test::run_program(test::program("anvilmount-gateway"), {}, "ANVILMOUNT_BOOT=" + path);
    BOOST_TEST(process.m_exit_code == 2);
    BOOST_TEST(process.m_output.find("error 1601") != std::string::npos);
    BOOST_TEST(process.m_output.find("empty or IP") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_unknown_setting_is_reported_by_name) {
    const std::string path = settings_file("unknown", valid_lines + "--colour=red\n");
    const auto process =
        test::run_program(test::program("anvilmount-gateway"), {}, "ANVILMOUNT_BOOT=" + path);
    BOOST_TEST(process.m_exit_code == 2);
    BOOST_TEST(process.m_output.find("colour") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_command_line_takes_precedence_over_the_file) {
    const std::string path = settings_file("order", valid_lines + "--log_level=info\n");
    const auto process = test::run_program(test::program("anvilmount-gateway"), {"--log_level=loud"},
                                           "ANVILMOUNT_BOOT=" + path);
    BOOST_TEST(process.m_exit_code == 2);
    BOOST_TEST(process.m_output.find("'loud'") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_negative_price_of_bytes_is_reported_with_the_allowed_range) {
    const std::string path = settings_file("price", valid_lines + "--remote_byte_price=-1\n");
    const auto process =
        test::run_program(test::program("anvilmount-gateway"), {}, "ANVILMOUNT_BOOT=" + path);
    BOOST_TEST(process.m_exit_code == 2);
    BOOST_TEST(process.m_output.find("error 1601") != std::string::npos);
    BOOST_TEST(process.m_output.find("0 to 1000 ms per kilobyte") != std::string::npos);
}
