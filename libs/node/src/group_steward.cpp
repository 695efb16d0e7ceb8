/// \file group_steward.cpp
/// Sends failover's orders as SQL calls over the probes' connections.
#include "group_steward.hpp"

#include "anvilmount/observe/event_log.hpp"

namespace anvilmount {
namespace {

constexpr milliseconds probe_interval{150};
constexpr milliseconds decision_interval{40};
constexpr milliseconds switch_timeout{3000};

std::string statement_for(const failover_order& order, const endpoint& primary) {
    const std::string term = std::to_string(order.m_term);
    switch (order.m_kind) {
    case order_kind::raise_term:
        return "SELECT raise_term(" + term + ")";
    case order_kind::promote:
        return "SELECT promote(" + term + ")";
    case order_kind::follow:
        return "SELECT follow('" + to_string(primary) + "', " + term + ")";
    case order_kind::hold_writes:
        break;
    }
    return "SELECT hold_writes(" + term + ")";
}

const char* event_name_for(order_kind kind) {
    switch (kind) {
    case order_kind::raise_term:
        return "failover.raise_term";
    case order_kind::promote:
        return "failover.promote";
    case order_kind::follow:
        return "failover.follow";
    case order_kind::hold_writes:
        break;
    }
    return "failover.hold_writes";
}

}

group_steward::group_steward(shard& owner, group_spec group)
    : m_shard(owner), m_group(std::move(group)), m_failover(options()) {
    update_probes();
    tick();
}

group_steward::~group_steward() {
    m_shard.loop().cancel(m_tick_timer);
}

failover_options group_steward::options() const {
    failover_options options{.m_members = {}, .m_automatic = m_group.m_automatic_promotion};
    for (const upstream_spec& each : m_group.m_upstreams) {
        options.m_members.push_back(each.m_id);
    }
    return options;
}

void group_steward::adopt(group_spec group) {
    m_group = std::move(group);
    m_failover.set_options(options());
    update_probes();
}

void group_steward::update_probes() {
    std::erase_if(m_probes, [&](const auto& each) { return find_upstream(each.first) == nullptr; });
    for (const upstream_spec& each : m_group.m_upstreams) {
        if (m_probes.contains(each.m_id)) {
            continue;
        }
        const upstream_id id = each.m_id;
        m_probes.emplace(
            id, std::make_unique<upstream_probe>(
                    m_shard,
                    probe_options{.m_login = {.m_address = each.m_address,
                                              .m_database = m_group.m_database,
                                              .m_user = m_group.m_user},
                                  .m_interval = probe_interval},
                    upstream_probe::handlers{
                        .m_on_state = [this, id](const upstream_state& state) { on_state(id, state); },
                        .m_on_silent =
                            [this, id](const failure&) { m_failover.on_silence(id, reactor::now()); }}));
    }
}

const upstream_spec* group_steward::find_upstream(const upstream_id& member) const {
    for (const upstream_spec& each : m_group.m_upstreams) {
        if (each.m_id == member) {
            return &each;
        }
    }
    return nullptr;
}

void group_steward::on_state(const upstream_id& member, const upstream_state& state) {
    member_report report{.m_is_primary = state.m_is_primary,
                         .m_term = state.m_term,
                         .m_position = state.m_position,
                         .m_following = {},
                         .m_stream_works = state.m_stream_works,
                         .m_leaving = state.m_leaving};
    for (const upstream_spec& each : m_group.m_upstreams) {
        if (state.m_following == each.m_address) {
            report.m_following = each.m_id;
        }
    }
    auto& seen_by_member = m_log_requests_seen[member];
    for (const follower_report& follower : state.m_followers) {
        std::uint64_t& last_count = seen_by_member[follower.m_follower];
        report.m_active_followers += follower.m_log_requests != last_count ? 1 : 0;
        last_count = follower.m_log_requests;
    }
    m_failover.on_report(member, report, reactor::now());
}

void group_steward::tick() {
    for (const failover_order& order : m_failover.decide(reactor::now(), m_shard.random())) {
        send_order(order);
    }
    check_switch();
    m_tick_timer = m_shard.loop().after(decision_interval, [this] { tick(); });
}

void group_steward::send_order(const failover_order& order) {
    const auto probe = m_probes.find(order.m_upstream);
    const upstream_spec* primary = find_upstream(order.m_primary);
    if (probe == m_probes.end() || (order.m_kind == order_kind::follow && primary == nullptr)) {
        return;
    }
    log_event(log_level::info, event_name_for(order.m_kind),
              {{"group", m_group.m_name.m_text},
               {"upstream", order.m_upstream.m_text},
               {"term", std::to_string(order.m_term)}});
    probe->second->run_order(statement_for(order, primary != nullptr ? primary->m_address : endpoint{}),
                             [this, order](const std::variant<std::string, failure>& outcome) {
                                 on_order_done(order, outcome);
                             });
}

void group_steward::on_order_done(const failover_order& order,
                                  const std::variant<std::string, failure>& outcome) {
    const steady_time now = reactor::now();
    if (const auto* refused = std::get_if<failure>(&outcome)) {
        log_event(log_level::warning, "failover.refused",
                  {{"group", m_group.m_name.m_text},
                   {"upstream", order.m_upstream.m_text},
                   {"reason", refused->m_message}});
        m_failover.on_order_refused(order.m_upstream, order.m_term, now);
        return;
    }
    if (order.m_kind == order_kind::raise_term) {
        const auto position =
            value_or_failure([&] { return parse_log_position(std::get<std::string>(outcome)); });
        if (const auto* raised_position = std::get_if<0>(&position)) {
            m_failover.on_term_raised(order.m_upstream, order.m_term, *raised_position, now);
        }
    } else if (order.m_kind == order_kind::promote) {
        m_failover.on_promoted(order.m_upstream, order.m_term, now);
        log_event(log_level::info, "failover.promoted",
                  {{"group", m_group.m_name.m_text},
                   {"upstream", order.m_upstream.m_text},
                   {"term", std::to_string(order.m_term)}});
    }
    // Decide the next step now instead of at the next tick.
    m_shard.loop().cancel(m_tick_timer);
    tick();
}

void group_steward::switch_to(const upstream_id& target, switch_handler on_done) {
    if (const auto refusal = m_failover.request_switch(target, reactor::now())) {
        on_done(failure{.m_code = result_code::switch_failed, .m_message = *refusal});
        return;
    }
    m_switch_target = target;
    m_on_switch_done = std::move(on_done);
    m_switch_deadline = reactor::now() + switch_timeout;
    m_shard.loop().cancel(m_tick_timer);
    tick();
}

void group_steward::check_switch() {
    if (!m_on_switch_done) {
        return;
    }
    const bool done = m_failover.primary(reactor::now()) == m_switch_target;
    if (!done && reactor::now() < m_switch_deadline) {
        return;
    }
    const auto callback = std::move(m_on_switch_done);
    m_on_switch_done = {};
    callback(
        done ? std::optional<failure>{}
             : failure{.m_code = result_code::switch_failed,
                       .m_message = "the switch did not come about in time; see 'anvilmountctl status'"});
}

nlohmann::json group_steward::dump() const {
    const auto primary = m_failover.primary(reactor::now());
    return {{"group", m_group.m_name.m_text},
            {"activity", m_failover.activity()},
            {"primary", primary ? nlohmann::json(primary->m_text) : nlohmann::json()},
            {"changes", m_failover.primary_changes()},
            {"automatic", m_group.m_automatic_promotion}};
}

}
