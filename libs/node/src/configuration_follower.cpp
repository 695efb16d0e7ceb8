/// \file configuration_follower.cpp
/// Reads the revision row, and the snapshot when the revision has increased.
#include "configuration_follower.hpp"

#include "anvilmount/control_store/configuration_record.hpp"
#include "anvilmount/control_store/configuration_store.hpp"
#include "anvilmount/observe/event_log.hpp"

namespace anvilmount {

namespace {

constexpr std::size_t instances_per_list_read = 40;

}

configuration_follower::configuration_follower(reactor& loop, std::uint32_t seed,
                                               control_store_client& platform, group_knowledge& knowledge,
                                               membership& members, configuration_follower_options options)
    : m_reactor(loop), m_random(seed), m_platform(platform), m_knowledge(knowledge), m_members(members),
      m_options(options) {
    poll_now();
    schedule_poll();
}

void configuration_follower::schedule_poll() {
    // Random spread, so that instances that start together do not keep polling together.
    const milliseconds spread{m_random() % (m_options.m_interval.count() / 2 + 1)};
    m_reactor.after(m_options.m_interval * 3 / 4 + spread, [this] {
        poll_now();
        schedule_poll();
    });
}

void configuration_follower::poll_now() {
    // The list grows with the fleet. Reading it less often in a larger fleet keeps
    // the cost per instance constant.
    if (m_polls_until_list == 0) {
        m_polls_until_list = 1 + m_members.size() / instances_per_list_read;
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
    m_platform.read_row(std::string(configuration_row_key),
                        [this](std::variant<table_row, failure> outcome) {
                            m_read_in_flight = false;
                            if (const auto* error = std::get_if<failure>(&outcome)) {
                                report_trouble("configuration", *error);
                                return;
                            }
                            m_last_trouble.clear();
                            const auto row = read_revision_row(std::get<table_row>(outcome));
                            if (row && row->m_revision > m_knowledge.current()->m_revision) {
                                read_snapshot(row->m_revision, row->m_object);
                            }
                        });
}

void configuration_follower::read_snapshot(std::uint64_t revision, const std::string& object) {
    m_read_in_flight = true;
    m_platform.read_object(object, [this, revision](std::variant<std::string, failure> outcome) {
        m_read_in_flight = false;
        if (const auto* error = std::get_if<failure>(&outcome)) {
            report_trouble("snapshot", *error);
            return;
        }
        const auto parsed =
            value_or_failure([&] { return parse_configuration(std::get<std::string>(outcome)); });
        if (const auto* parse_error = std::get_if<failure>(&parsed)) {
            report_trouble("snapshot", *parse_error);
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
    m_platform.read_instances([this](std::variant<std::vector<instance_view>, failure> outcome) {
        if (const auto* error = std::get_if<failure>(&outcome)) {
            report_trouble("instances", *error);
            return;
        }
        m_members.adopt(std::move(std::get<0>(outcome)));
    });
}

nlohmann::json configuration_follower::dump() const {
    return {{"revision", m_knowledge.current()->m_revision}, {"platform_trouble", m_last_trouble}};
}

}
