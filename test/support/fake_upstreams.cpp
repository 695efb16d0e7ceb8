/// \file fake_upstreams.cpp
#include "support/fake_upstreams.hpp"

#include <utility>

namespace anvilmount::test {
namespace {

using gateway::answer;
using gateway::outgoing_statement;
using gateway::session_state;

constexpr milliseconds path{1};
constexpr milliseconds greeting_time{12};
constexpr milliseconds promotion_time{600};
constexpr int connections_allowed = 21;

answer refused(result_code code) {
    return {.m_code = code, .m_reason = "test"};
}

answer done(const std::string& proof) {
    return {.m_proof = proof};
}

}

void fake_upstreams::add_group(const std::string& group, int members) {
    for (int number = 1; number <= members; ++number) {
        const std::string id = group + "-" + std::to_string(number);
        m_upstreams[id] = {
            .m_entry = {.m_id = {id},
                        .m_group = {group},
                        .m_address = {.m_address = "10.0.0." + std::to_string(number), .m_port = 1},
                        .m_data_centre = {"dc" + std::to_string(number)},
                        .m_slots = 3,
                        .m_registered_as_primary = number == 1},
            .m_leads = number == 1};
    }
}

gateway::upstream_registry fake_upstreams::registry() const {
    gateway::upstream_registry registry;
    for (const auto& [id, each] : m_upstreams) {
        registry[{id}] = each.m_entry;
    }
    return registry;
}

gateway::upstream_connector fake_upstreams::connector(const std::string& instance) {
    return [this, instance](const endpoint&, const group_name&, const upstream_id& expected,
                            gateway::upstream_channel_events events) -> gateway::upstream_channel {
        auto made = std::make_shared<connection>();
        made->m_number = m_next++;
        made->m_instance = instance;
        made->m_upstream = expected.m_text;
        made->m_events = std::move(events);
        start(made, expected);
        return {.m_send =
                    [this, made](const std::vector<outgoing_statement>& batch) {
                        for (const outgoing_statement& each : batch) {
                            m_clock.after(path, [this, made, each] { receive(made, each); });
                        }
                    },
                .m_close =
                    [this, made] {
                        made->m_events = {};
                        lose(made);
                    }};
    };
}

void fake_upstreams::start(const connection_ptr& made, const upstream_id& expected) {
    m_clock.after(greeting_time, [this, made, expected] {
        fake_upstream& at = m_upstreams.at(expected.m_text);
        if (at.m_silent || is_cut(*made) || !made->m_events.m_on_ready) {
            return;
        }
        if (at.m_down) {
            made->m_events.m_on_connect_failed(gateway::connect_failure::refused);
            return;
        }
        if (at.m_open >= connections_allowed) {
            made->m_events.m_on_connect_failed(gateway::connect_failure::too_many_connections);
            return;
        }
        ++at.m_open;
        at.m_most_open = std::max(at.m_most_open, at.m_open);
        m_connections.push_back(made);
        made->m_events.m_on_ready();
    });
}

void fake_upstreams::lose(const connection_ptr& on) {
    if (!on->m_open) {
        return;
    }
    on->m_open = false;
    if (std::erase(m_connections, on) > 0) {
        --m_upstreams.at(on->m_upstream).m_open;
    }
    const auto events = std::exchange(on->m_events, {});
    if (events.m_on_lost) {
        events.m_on_lost();
    }
}

std::function<void()> fake_upstreams::end_of_connections(const std::string& instance) {
    std::vector<connection_ptr> open;
    for (const connection_ptr& each : m_connections) {
        if (each->m_instance == instance) {
            open.push_back(each);
        }
    }
    return [this, open] {
        for (const connection_ptr& each : open) {
            each->m_events = {};
            lose(each);
        }
    };
}

void fake_upstreams::receive(const connection_ptr& on, const outgoing_statement& what) {
    const fake_upstream& at = m_upstreams.at(on->m_upstream);
    if (!on->m_open || at.m_silent || is_cut(*on)) {
        return;
    }
    const bool takes_slot = what.m_kind == outgoing_statement::kind::forwarded;
    const steady_time ready =
        std::max(m_clock.now(), on->m_free_at) + (takes_slot ? at.m_work : milliseconds{0});
    on->m_free_at = ready;
    m_clock.after(std::chrono::duration_cast<milliseconds>(ready - m_clock.now()),
                  [this, on, what] { run(on, what); });
}

void fake_upstreams::run(const connection_ptr& on, const outgoing_statement& what) {
    const fake_upstream& at = m_upstreams.at(on->m_upstream);
    if (!on->m_open || at.m_down) {
        return;
    }
    answer reply = answer_to(on, what);
    const bool running = what.m_kind == outgoing_statement::kind::forwarded;
    if (at.m_loses_answers && running && reply.succeeded()) {
        lose(on);
        return;
    }
    reply.m_state = on->m_failed           ? session_state::failed
                    : on->m_in_transaction ? session_state::in_transaction
                                           : session_state::idle;
    reply.m_position = at.m_position;
    m_clock.after(path, [this, on, reply] { finish(on, reply); });
}

void fake_upstreams::finish(const connection_ptr& on, answer reply) {
    const fake_upstream& at = m_upstreams.at(on->m_upstream);
    if (on->m_open && !at.m_silent && !is_cut(*on) && on->m_events.m_on_answer) {
        const auto told = on->m_events.m_on_answer;
        told(std::move(reply));
    }
}

answer fake_upstreams::answer_to(const connection_ptr& on, const outgoing_statement& what) {
    fake_upstream& at = m_upstreams.at(on->m_upstream);
    const bool lacks = what.m_min_position && at.m_position < *what.m_min_position;
    switch (what.m_kind) {
    case outgoing_statement::kind::reset:
        on->m_values.clear();
        on->m_prepared.clear();
        return done("-");
    case outgoing_statement::kind::set_value:
        on->m_values[what.m_name] = what.m_argument;
        return done("-");
    case outgoing_statement::kind::prepare:
        on->m_prepared.insert(what.m_name);
        return done("-");
    case outgoing_statement::kind::rollback:
        on->m_in_transaction = on->m_failed = on->m_wrote = false;
        return done("-");
    case outgoing_statement::kind::begin:
    case outgoing_statement::kind::begin_read_only:
        if (on->m_in_transaction) {
            m_rule_breaks.push_back("begin inside a transaction");
        }
        on->m_read_only = what.m_kind == outgoing_statement::kind::begin_read_only;
        if (lacks) {
            return refused(result_code::no_fresh_upstream);
        }
        if (!on->m_read_only && !at.m_leads) {
            return refused(result_code::not_primary);
        }
        on->m_in_transaction = true;
        return done("-");
    case outgoing_statement::kind::status: {
        answer reply = done("-");
        reply.m_rows = {std::string(at.m_leads ? "primary" : "replica") + " " + std::to_string(at.m_term) +
                        " " + std::to_string(at.m_position.m_term) + " " +
                        std::to_string(at.m_position.m_offset)};
        return reply;
    }
    case outgoing_statement::kind::demote:
        at.m_leads = at.m_leads && at.m_term >= what.m_term;
        return done("-");
    case outgoing_statement::kind::forwarded:
        break;
    }
    return lacks ? refused(result_code::no_fresh_upstream) : data_answer(on, what);
}

answer fake_upstreams::data_answer(const connection_ptr& on, const outgoing_statement& what) {
    fake_upstream& at = m_upstreams.at(on->m_upstream);
    const std::string text =
        what.m_name.empty() ? what.m_text : "EXECUTE " + what.m_name + " " + what.m_argument;
    const bool commits = text == "COMMIT";
    if (at.m_busy && !commits) {
        return refused(result_code::queue_full);
    }
    if (!what.m_name.empty() && !on->m_prepared.contains(what.m_name)) {
        return refused(result_code::unknown_prepared_statement);
    }
    const bool writes = text.starts_with("WRITE");
    if ((writes || (on->m_in_transaction && !on->m_read_only)) && !at.m_leads &&
        !(commits && !on->m_wrote)) {
        on->m_failed = on->m_in_transaction;
        return refused(result_code::not_primary);
    }
    m_runs.push_back({.m_upstream = on->m_upstream,
                      .m_connection = on->m_number,
                      .m_id = what.m_id,
                      .m_text = text,
                      .m_values = on->m_values,
                      .m_in_transaction = on->m_in_transaction});
    if (commits) {
        if (on->m_wrote) {
            commit(at);
        }
        on->m_in_transaction = on->m_wrote = false;
    } else if (writes && on->m_in_transaction) {
        on->m_wrote = true;
    } else if (writes) {
        commit(at);
    }
    return done("proof-" + what.m_id);
}

void fake_upstreams::commit(fake_upstream& at) {
    ++at.m_position.m_offset;
    at.m_position.m_term = at.m_term;
    for (auto& [id, each] : m_upstreams) {
        if (each.m_entry.m_group == at.m_entry.m_group && !each.m_leads && each.m_applies && !each.m_down) {
            each.m_position = at.m_position;
        }
    }
}

void fake_upstreams::promote(const std::string& id) {
    ++m_promotions;
    m_clock.after(promotion_time, [this, id] {
        fake_upstream& next = m_upstreams.at(id);
        std::uint64_t newest = 0;
        for (const auto& [name, each] : m_upstreams) {
            if (each.m_entry.m_group == next.m_entry.m_group) {
                newest = std::max(newest, each.m_term);
            }
        }
        next.m_term = newest + 1;
        next.m_leads = true;
    });
}

void fake_upstreams::crash(const std::string& id) {
    m_upstreams.at(id).m_down = true;
    const std::vector<connection_ptr> open = m_connections;
    for (const connection_ptr& each : open) {
        if (each->m_upstream == id) {
            lose(each);
        }
    }
}

std::optional<gateway::upstream_status> fake_upstreams::read_status(const answer& reply) {
    char role[16] = {};
    unsigned long long term = 0;
    unsigned long long position_term = 0;
    unsigned long long offset = 0;
    if (reply.m_rows.size() != 1 || std::sscanf(reply.m_rows.front().c_str(), "%15s %llu %llu %llu", role,
                                                &term, &position_term, &offset) != 4) {
        return std::nullopt;
    }
    return gateway::upstream_status{.m_is_primary = std::string(role) == "primary",
                                    .m_term = term,
                                    .m_received_position = {.m_term = position_term, .m_offset = offset}};
}

}
