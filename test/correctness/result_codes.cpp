/// \file result_codes.cpp
/// Tests that the table in RESULT-CODES.md and the table in the code are equal, so that
/// the document lists every code with its name, SQLSTATE, outcome and retryability.
#include "anvilmount/base/result_code.hpp"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <map>
#include <sstream>

using namespace anvilmount;

namespace {

constexpr int code_range_begin = 1000;
constexpr int code_range_end = 2000;

/// Returns the rows of the document's table by code number.
std::map<int, std::string> documented_rows() {
    std::map<int, std::string> rows;
    std::ifstream file(std::string(ANVILMOUNT_DOCS) + "/RESULT-CODES.md");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("| 1")) {
            rows[std::stoi(line.substr(2))] = line;
        }
    }
    return rows;
}

}

BOOST_AUTO_TEST_CASE(the_documented_table_equals_the_table_in_the_code) {
    const std::map<int, std::string> rows = documented_rows();
    std::size_t codes = 0;
    for (int number = code_range_begin; number < code_range_end; ++number) {
        const auto code = result_code_from_number(number);
        if (!code) {
            BOOST_TEST(!rows.contains(number));
            continue;
        }
        ++codes;
        BOOST_TEST_CONTEXT(number) {
            BOOST_REQUIRE(rows.contains(number));
            const result_traits& traits = traits_of(*code);
            const std::string start = "| " + std::to_string(number) + " | " + std::string(traits.m_name) +
                                      " | " + std::string(traits.m_sqlstate) + " | ";
            BOOST_TEST(rows.at(number).starts_with(start));
            const bool documented_not_run = rows.at(number).find("| not run |") != std::string::npos;
            BOOST_TEST(documented_not_run == (traits.m_outcome == outcome::not_run));
            const bool documented_retryable = rows.at(number).find("| yes |") != std::string::npos;
            BOOST_TEST(documented_retryable == traits.m_retryable);
        }
    }
    BOOST_TEST(codes == rows.size());
}
