/// \file configuration_follower.cpp
#include "configuration_follower.hpp"

#include "anvilmount/control_store/configuration_record.hpp"
#include "anvilmount/control_store/configuration_store.hpp"
#include "anvilmount/observe/event_log.hpp"

namespace anvilmount {

namespace {

constexpr std::size_t instances_per_poll = 40;

}

configuration_follower::configuration_follower(reactor& loop, std::uint32_t seed,
                                               control_store_client& platform, group_knowledge& knowledge,
                                               membership& members, configuration_follower_options options)
    : m_reactor(loop), m_random(seed), m_platform(platform), m_knowledge(knowledge), m_members(members),
      m_options(options) {
    poll_now();
    schedule();
}

void configuration_follower::schedule() {
    // Instances that start together must not ask together for ever.
    const milliseconds spread{m_random() % (m_options.m_interval.count() / 2 + 1)};
    m_reactor.after(m_options.m_interval * 3 / 4 + spread, [this] {
        poll_now();
        schedule();
    });
}

void configuration_follower::poll_now() {
    // The list grows with the fleet, and so does the time between two looks at
    // it: what an instance spends on it stays the same.
    if (m_polls_until_list == 0) {
        m_polls_until_list = 1 + m_members.size() / instances_per_poll;
        read_instances();
    }
    --m_polls_until_list;
    if (!m_read_in_flight) {
        read_configuration();
    }
}

void configuration_follower::report_trouble(const char* what, const failure& why) {
    if (m_last_trouble.empty()) {
        log_event(log_level::warning, "platform.trouble", {{"what", what}, {"reason", why.m_message}});
    }
    m_last_trouble = why.m_message;
}

void configuration_follower::read_configuration() {
    m_read_in_flight = true;
    m_platform.read_row(std::string(configuration_row_key), [this](std::variant<table_row, failure> got) {
        m_read_in_flight = false;
        if (const auto* broken = std::get_if<failure>(&got)) {
            report_trouble("configuration", *broken);
            return;
        }
        m_last_trouble.clear();
        const auto row = read_revision_row(std::get<table_row>(got));
        if (row && row->m_revision > m_knowledge.current()->m_revision) {
            read_snapshot(row->m_revision, row->m_object);
        }
    });
}

void configuration_follower::read_snapshot(std::uint64_t revision, const std::string& object) {
    m_read_in_flight = true;
    m_platform.read_object(object, [this, revision](std::variant<std::string, failure> got) {
        m_read_in_flight = false;
        if (const auto* broken = std::get_if<failure>(&got)) {
            report_trouble("snapshot", *broken);
            return;
        }
        const auto parsed =
            value_or_failure([&] { return parse_configuration(std::get<std::string>(got)); });
        if (const auto* refused = std::get_if<failure>(&parsed)) {
            report_trouble("snapshot", *refused);
            return;
        }
        const auto changed = std::make_shared<configuration>(std::get<0>(parsed));
        changed->m_revision = revision;
        if (m_knowledge.adopt(changed)) {
            log_event(log_level::info, "configuration.in_force", {{"revision", std::to_string(revision)}});
            if (m_on_change) {
                m_on_change();
            }
        }
    });
}

void configuration_follower::read_instances() {
    m_platform.read_instances([this](std::variant<std::vector<instance_view>, failure> got) {
        if (const auto* broken = std::get_if<failure>(&got)) {
            report_trouble("instances", *broken);
            return;
        }
        m_members.adopt(std::move(std::get<0>(got)));
    });
}

nlohmann::json configuration_follower::dump() const {
    return {{"revision", m_knowledge.current()->m_revision}, {"platform_trouble", m_last_trouble}};
}

}
