/// \file configuration_record.cpp
/// Guards against an invalid configuration record being accepted in part, or being
/// refused without naming the invalid field.
#include "anvilmount/control_store/configuration_record.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;

namespace {

const char* const valid_record =
    R"({"schema_version":1,"readable_by":1,"unknown":7,"groups":[{"name":"orders","upstreams":[
  {"name":"o1","address":"127.0.0.1:5501","connections":20,"slots":3}],
  "rules":[{"name":"r","table":"orders","reads":false,"rank":1,"deadline_ms":500}]}],
  "ranks":[{"rank":3,"floor":0.1}]})";

struct invalid_field {
    const char* m_pointer; ///< Field to change, as a JSON pointer.
    const char* m_value;
    const char* m_path; ///< The error message must begin with this path.
};

constexpr invalid_field invalid_fields[] = {
    {"/schema_version", "\"one\"", "schema_version"},
    {"/readable_by", "2", "readable_by"},
    {"/groups", "[]", "groups"},
    {"/groups/0/name", "\"\"", "groups[0].name"},
    {"/groups/0/upstreams/0/address", "\"host:1\"", "groups[0].upstreams[0].address"},
    {"/groups/0/upstreams/0/connections", "1", "groups[0].upstreams[0].connections"},
    {"/groups/0/upstreams/0/slots", "-1", "groups[0].upstreams[0].slots"},
    {"/groups/0/rules/0/rank", "4", "groups[0].rules[0].rank"},
    {"/groups/0/rules/0/reads", "\"yes\"", "groups[0].rules[0].reads"},
    {"/groups/0/rules/0/deadline_ms", "0", "groups[0].rules[0].deadline_ms"},
    {"/ranks/0/floor", "1.5", "ranks[0].floor"},
    {"/ranks/0/rank", "0", "ranks[0].rank"},
};

failure parse_error(const nlohmann::json& record) {
    const auto failed = failure_of([&]() -> result<void> {
        BOOST_LEAF_CHECK(parse_configuration(record.dump()));
        return {};
    });
    return failed.value_or(failure{.m_code = result_code::internal, .m_message = "accepted"});
}

}

BOOST_AUTO_TEST_CASE(a_valid_record_is_accepted_and_unknown_fields_are_ignored) {
    const auto outcome = value_or_failure([] { return parse_configuration(valid_record); });
    BOOST_REQUIRE(outcome.index() == 0U);
    const configuration& parsed = std::get<0>(outcome);
    BOOST_TEST(parsed.m_groups.front().m_upstreams.front().m_slots == 3);
    BOOST_TEST(parsed.m_groups.front().m_rules.front().m_class.m_rank == 1);
    BOOST_TEST(parsed.m_ranks[2].m_floor == 0.1);
}

BOOST_AUTO_TEST_CASE(an_invalid_field_is_refused_and_named_in_the_error) {
    for (const invalid_field& each : invalid_fields) {
        BOOST_TEST_CONTEXT(each.m_pointer << " = " << each.m_value) {
            nlohmann::json record = nlohmann::json::parse(valid_record);
            record[nlohmann::json::json_pointer(each.m_pointer)] = nlohmann::json::parse(each.m_value);
            const failure failed = parse_error(record);
            BOOST_TEST(number_of(failed.m_code) == 1501);
            BOOST_TEST(failed.m_message.find(each.m_path) == 0U);
            BOOST_TEST(failed.m_message.find("allowed: ") != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_duplicate_name_is_refused) {
    nlohmann::json record = nlohmann::json::parse(valid_record);
    record["groups"].push_back(record["groups"][0]);
    BOOST_TEST(parse_error(record).m_message.find("stands twice") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(text_that_is_not_json_is_refused) {
    BOOST_TEST(number_of(value_or_failure([] { return parse_configuration("{"); }).index() == 1U
                             ? result_code::bad_configuration
                             : result_code::internal) == 1501);
}
