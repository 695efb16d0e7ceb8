/// \file session_lifetime.cpp
/// A session may be released by the callbacks that it calls. Built with the address sanitizer, which
/// reports any use after that.
#include "support/gateway_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using kind = gateway::statement_kind;

namespace {

/// A session whose only reference is given up by its close callback.
struct released_session {
    test::gateway_fleet m_fleet{1};
    std::shared_ptr<gateway::caller_session> m_session;
    std::vector<gateway::answer> m_answers;

    released_session() {
        gateway::gateway& instance = m_fleet.instance(1);
        const auto opened = value_or_failure([&] {
            return instance.open_session(
                "pay", {.m_answer = [this](const gateway::answer& reply) { m_answers.push_back(reply); },
                        .m_close =
                            [this, &instance](gateway::session_end) {
                                instance.forget_session(m_session);
                                m_session.reset();
                            }});
        });
        m_session = std::get<0>(opened);
    }

    void send(const std::string& id) const {
        m_session->on_statement({.m_id = id, .m_kind = kind::read, .m_text = "READ 1"});
    }
};

}

BOOST_AUTO_TEST_CASE(a_session_that_ends_while_it_refuses_a_statement_is_not_used_afterwards) {
    released_session released;
    released.m_session->require_revision(2);
    released.send("q1");
    BOOST_TEST(released.m_session == nullptr);
    BOOST_REQUIRE(released.m_answers.size() == 1);
    BOOST_TEST((released.m_answers[0].m_code == result_code::queue_full));
}

BOOST_AUTO_TEST_CASE(a_draining_session_is_not_used_after_its_last_answer) {
    released_session released;
    released.send("q1");
    released.m_session->drain(gateway::session_end::instance_leaving);
    released.m_fleet.run_for(milliseconds{100});
    BOOST_TEST(released.m_session == nullptr);
    BOOST_REQUIRE(released.m_answers.size() == 1);
    BOOST_TEST(released.m_answers[0].succeeded());
}
