/// \file configuration_record.cpp
/// A bad record is refused whole, and the complaint names the field.
#include "anvilmount/control_store/configuration_record.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;

namespace {

const char* const good =
    R"({"schema_version":1,"readable_by":1,"unknown":7,"groups":[{"name":"orders","upstreams":[
  {"name":"o1","address":"127.0.0.1:5501","connections":20,"slots":3}],
  "rules":[{"name":"r","table":"orders","reads":false,"rank":1,"deadline_ms":500}]}],
  "ranks":[{"rank":3,"floor":0.1}]})";

struct bad_record {
    const char* m_pointer; ///< Field to change, as a JSON pointer.
    const char* m_value;
    const char* m_path; ///< Must stand in the complaint.
};

constexpr bad_record bad_records[] = {
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

failure complaint(const nlohmann::json& record) {
    const auto refused = failure_of([&]() -> result<void> {
        BOOST_LEAF_CHECK(parse_configuration(record.dump()));
        return {};
    });
    return refused.value_or(failure{.m_code = result_code::internal, .m_message = "accepted"});
}

}

BOOST_AUTO_TEST_CASE(a_good_record_is_read_and_unknown_fields_do_not_matter) {
    const auto read = value_or_failure([] { return parse_configuration(good); });
    BOOST_REQUIRE(read.index() == 0U);
    const configuration& accepted = std::get<0>(read);
    BOOST_TEST(accepted.m_groups.front().m_upstreams.front().m_slots == 3);
    BOOST_TEST(accepted.m_groups.front().m_rules.front().m_class.m_rank == 1);
    BOOST_TEST(accepted.m_ranks[2].m_floor == 0.1);
}

BOOST_AUTO_TEST_CASE(each_bad_field_is_named) {
    for (const bad_record& each : bad_records) {
        BOOST_TEST_CONTEXT(each.m_pointer << " = " << each.m_value) {
            nlohmann::json record = nlohmann::json::parse(good);
            record[nlohmann::json::json_pointer(each.m_pointer)] = nlohmann::json::parse(each.m_value);
            const failure refused = complaint(record);
            BOOST_TEST(number_of(refused.m_code) == 1501);
            BOOST_TEST(refused.m_message.find(each.m_path) == 0U);
            BOOST_TEST(refused.m_message.find("allowed: ") != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(names_stand_once) {
    nlohmann::json record = nlohmann::json::parse(good);
    record["groups"].push_back(record["groups"][0]);
    BOOST_TEST(complaint(record).m_message.find("stands twice") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_text_that_is_not_json_is_refused) {
    BOOST_TEST(number_of(value_or_failure([] { return parse_configuration("{"); }).index() == 1U
                             ? result_code::bad_configuration
                             : result_code::internal) == 1501);
}
