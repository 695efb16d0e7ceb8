/// \file primary_check.cpp
/// Tells statements apart by a number in their texts.
#include "support/primary_check.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

namespace anvilmount::test {
namespace {

constexpr std::array upstreams{"orders-1", "orders-2", "orders-3"};
constexpr milliseconds answer_timeout{150};

}

bool primary_check::run(int instance, gateway::statement_kind kind, const std::string& text) {
    const std::string numbered = text + std::to_string(++m_statements);
    test_caller caller(m_fleet.instance(instance), "pay");
    if (!caller.is_open()) {
        return false;
    }
    std::uint64_t newest_term = 0;
    for (const char* id : upstreams) {
        const fake_upstream& each = m_fleet.m_upstreams.at(id);
        newest_term = std::max(newest_term, each.m_is_primary ? each.m_term : 0);
    }
    caller.send(kind, numbered);
    m_fleet.run_for(answer_timeout);
    const bool succeeded = !caller.m_answers.empty() && caller.m_answers[0].succeeded();
    int runs = 0;
    for (const run_statement& each : m_fleet.m_upstreams.m_runs) {
        if (each.m_text == numbered) {
            ++runs;
            BOOST_TEST((!succeeded || m_fleet.m_upstreams.at(each.m_upstream).m_term >= newest_term));
        }
    }
    BOOST_TEST((kind != gateway::statement_kind::write || runs <= 1));
    return succeeded;
}

std::string primary_check::newest_primary() const {
    std::string found;
    std::uint64_t term = 0;
    for (const char* id : upstreams) {
        const fake_upstream& each = m_fleet.m_upstreams.at(id);
        if (each.m_is_primary && !each.m_down && each.m_term > term) {
            found = id;
            term = each.m_term;
        }
    }
    return found;
}

void primary_check::recover_as_replica(const std::string& id) {
    fake_upstream& upstream = m_fleet.m_upstreams.at(id);
    upstream.m_down = false;
    upstream.m_is_primary = false;
    const std::string primary = newest_primary();
    if (!primary.empty()) {
        upstream.m_position = m_fleet.m_upstreams.at(primary).m_position;
    }
}

void primary_check::leave_primary() {
    const std::string primary = newest_primary();
    if (!primary.empty()) {
        m_fleet.m_upstreams.at(primary).m_entry.m_leaving = true;
        m_fleet.publish_registry();
    }
}

}
