/// \file fake_upstreams.cpp
/// Simulates the execution of statements, commits and replication in virtual time.
#include "support/fake_upstreams.hpp"

#include <utility>

namespace anvilmount::test {
namespace {

using gateway::answer;
using gateway::outgoing_statement;
using gateway::session_state;

constexpr milliseconds path_delay{1};
constexpr milliseconds connect_time{12};
constexpr int max_connections = 21;

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
            .m_is_primary = number == 1};
    }
}

gateway::upstream_registry fake_upstreams::registry() const {
    gateway::upstream_registry registry;
    for (const auto& [id, each] : m_upstreams) {
        if (each.m_registered) {
            registry[{id}] = each.m_entry;
        }
    }
    return registry;
}

gateway::upstream_connector fake_upstreams::connector(const std::string& instance) {
    return [this, instance](const endpoint&, const group_name&, const upstream_id& expected,
                            const std::string& account,
                            gateway::upstream_channel_events events) -> gateway::upstream_channel {
        auto made = std::make_shared<connection>();
        made->m_number = m_next++;
        made->m_instance = instance;
        made->m_account = account;
        made->m_upstream = expected.m_text;
        made->m_events = std::move(events);
        start(made, expected);
        return {.m_send =
                    [this, made](const std::vector<outgoing_statement>& batch) {
                        for (const outgoing_statement& each : batch) {
                            m_clock.after(path_delay, [this, made, each] { receive(made, each); });
                        }
                    },
                .m_has_unreported_input = [made] { return !made->m_open; },
                .m_close =
                    [this, made] {
                        made->m_events = {};
                        drop(made);
                    }};
    };
}

void fake_upstreams::start(const connection_ptr& made, const upstream_id& expected) {
    m_clock.after(connect_time, [this, made, expected] {
        fake_upstream& upstream = m_upstreams.at(expected.m_text);
        if (upstream.m_silent || is_cut(*made) || !made->m_events.m_on_ready) {
            return;
        }
        if (upstream.m_down || m_refused_paths.contains({made->m_instance, made->m_upstream})) {
            made->m_events.m_on_connect_failed(gateway::connect_failure::refused);
            return;
        }
        if (upstream.m_open >= max_connections) {
            made->m_events.m_on_connect_failed(gateway::connect_failure::too_many_connections);
            return;
        }
        ++upstream.m_open;
        upstream.m_peak_open = std::max(upstream.m_peak_open, upstream.m_open);
        m_connections.push_back(made);
        made->m_events.m_on_ready();
    });
}

void fake_upstreams::drop(const connection_ptr& conn) {
    if (!conn->m_open) {
        return;
    }
    conn->m_open = false;
    if (std::erase(m_connections, conn) > 0) {
        --m_upstreams.at(conn->m_upstream).m_open;
    }
    const auto events = std::exchange(conn->m_events, {});
    if (events.m_on_lost) {
        events.m_on_lost();
    }
}

void fake_upstreams::refuse(const std::string& instance, const std::string& id) {
    m_refused_paths.insert({instance, id});
    const std::vector<connection_ptr> open = m_connections;
    for (const connection_ptr& each : open) {
        if (each->m_instance == instance && each->m_upstream == id) {
            drop(each);
        }
    }
}

std::function<void()> fake_upstreams::connection_closer(const std::string& instance) {
    std::vector<connection_ptr> open;
    for (const connection_ptr& each : m_connections) {
        if (each->m_instance == instance) {
            open.push_back(each);
        }
    }
    return [this, open] {
        for (const connection_ptr& each : open) {
            each->m_events = {};
            drop(each);
        }
    };
}

void fake_upstreams::close_connections(const std::string& id, milliseconds delay) {
    const std::vector<connection_ptr> open = m_connections;
    for (const connection_ptr& each : open) {
        if (each->m_upstream != id) {
            continue;
        }
        const auto events = std::exchange(each->m_events, {});
        drop(each);
        each->m_events = events;
        m_clock.after(delay, [each] {
            if (const auto reported = std::exchange(each->m_events, {}); reported.m_on_lost) {
                reported.m_on_lost();
            }
        });
    }
}

void fake_upstreams::receive(const connection_ptr& conn, const outgoing_statement& what) {
    const fake_upstream& upstream = m_upstreams.at(conn->m_upstream);
    if (!conn->m_open || upstream.m_silent || is_cut(*conn)) {
        return;
    }
    const bool takes_slot = what.m_kind == outgoing_statement::kind::forwarded;
    const bool asks_status = what.m_kind == outgoing_statement::kind::status;
    if (asks_status && upstream.m_ignores_status) {
        return;
    }
    const milliseconds time = takes_slot    ? upstream.m_work_time
                              : asks_status ? upstream.m_status_time
                                            : milliseconds{0};
    const steady_time ready = std::max(m_clock.now(), conn->m_free_at) + time;
    conn->m_free_at = ready;
    m_clock.after(std::chrono::duration_cast<milliseconds>(ready - m_clock.now()),
                  [this, conn, what] { run(conn, what); });
}

void fake_upstreams::run(const connection_ptr& conn, const outgoing_statement& what) {
    const fake_upstream& upstream = m_upstreams.at(conn->m_upstream);
    if (!conn->m_open || upstream.m_down) {
        return;
    }
    if (what.m_kind != outgoing_statement::kind::status) {
        ++m_received[what.m_kind];
    }
    if (upstream.m_breaks_at && upstream.m_breaks_at(what)) {
        drop(conn);
        return;
    }
    answer reply = upstream.m_fails && upstream.m_fails(what) ? refused(result_code::statement_failed)
                                                              : answer_to(conn, what);
    const bool running = what.m_kind == outgoing_statement::kind::forwarded;
    if (std::exchange(conn->m_awaits_replica, false)) {
        return;
    }
    if (upstream.m_loses_answers && running && reply.succeeded()) {
        drop(conn);
        return;
    }
    reply.m_state = conn->m_failed           ? session_state::failed
                    : conn->m_in_transaction ? session_state::in_transaction
                                             : session_state::idle;
    reply.m_position = upstream.m_position;
    m_clock.after(path_delay, [this, conn, reply] { finish(conn, reply); });
}

void fake_upstreams::finish(const connection_ptr& conn, answer reply) {
    const fake_upstream& upstream = m_upstreams.at(conn->m_upstream);
    if (conn->m_open && !upstream.m_silent && !is_cut(*conn) && conn->m_events.m_on_answer) {
        const auto on_answer = conn->m_events.m_on_answer;
        on_answer(std::move(reply));
    }
}

answer fake_upstreams::answer_to(const connection_ptr& conn, const outgoing_statement& what) {
    fake_upstream& upstream = m_upstreams.at(conn->m_upstream);
    const bool is_behind = what.m_min_position && upstream.m_position < *what.m_min_position;
    switch (what.m_kind) {
    case outgoing_statement::kind::reset:
        conn->m_values.clear();
        conn->m_prepared.clear();
        return done("-");
    case outgoing_statement::kind::set_value:
        conn->m_values[what.m_name] = what.m_argument;
        return done("-");
    case outgoing_statement::kind::prepare:
        conn->m_prepared.insert(what.m_name);
        return done("-");
    case outgoing_statement::kind::rollback:
        conn->m_in_transaction = conn->m_failed = conn->m_wrote = false;
        return done("-");
    case outgoing_statement::kind::begin:
    case outgoing_statement::kind::begin_read_only:
        if (conn->m_in_transaction) {
            m_violations.push_back("begin inside a transaction");
        }
        conn->m_read_only = what.m_kind == outgoing_statement::kind::begin_read_only;
        if (is_behind) {
            return refused(result_code::no_fresh_upstream);
        }
        if (!conn->m_read_only && !upstream.m_is_primary) {
            return refused(result_code::not_primary);
        }
        conn->m_in_transaction = !upstream.m_ignores_begin;
        return done("-");
    case outgoing_statement::kind::status: {
        answer reply = done("-");
        reply.m_rows = {std::string(upstream.m_is_primary ? "primary" : "replica") + " " +
                        std::to_string(upstream.m_term) + " " + std::to_string(upstream.m_position.m_term) +
                        " " + std::to_string(upstream.m_position.m_offset)};
        return reply;
    }
    case outgoing_statement::kind::demote:
        upstream.m_is_primary = upstream.m_is_primary && upstream.m_term >= what.m_term;
        return done("-");
    case outgoing_statement::kind::forwarded:
        break;
    }
    return is_behind ? refused(result_code::no_fresh_upstream) : data_answer(conn, what);
}

answer fake_upstreams::data_answer(const connection_ptr& conn, const outgoing_statement& what) {
    fake_upstream& upstream = m_upstreams.at(conn->m_upstream);
    const std::string text =
        what.m_name.empty() ? what.m_text : "EXECUTE " + what.m_name + " " + what.m_argument;
    const bool commits = text == "COMMIT";
    if (upstream.m_busy && !commits) {
        conn->m_in_transaction = conn->m_in_transaction && !upstream.m_ends_refused;
        return refused(result_code::queue_full);
    }
    if (!what.m_name.empty() && !conn->m_prepared.contains(what.m_name)) {
        return refused(result_code::unknown_prepared_statement);
    }
    const bool writes = text.starts_with("WRITE");
    if ((writes || (conn->m_in_transaction && !conn->m_read_only)) && !upstream.m_is_primary &&
        !(commits && !conn->m_wrote)) {
        conn->m_failed = conn->m_in_transaction;
        return refused(result_code::not_primary);
    }
    m_runs.push_back({.m_upstream = conn->m_upstream,
                      .m_connection = conn->m_number,
                      .m_account = conn->m_account,
                      .m_id = what.m_id,
                      .m_text = text,
                      .m_values = conn->m_values,
                      .m_in_transaction = conn->m_in_transaction});
    const bool changes_log = commits ? conn->m_wrote : writes && !conn->m_in_transaction;
    if (commits) {
        conn->m_in_transaction = conn->m_wrote = false;
    } else if (writes && conn->m_in_transaction) {
        conn->m_wrote = true;
    }
    if (changes_log && commit(upstream) == 0 && upstream.m_synchronous) {
        conn->m_awaits_replica = true;
    }
    m_runs.back().m_position = upstream.m_position;
    answer reply = done("proof-" + what.m_id);
    if (!writes && !commits) {
        reply.m_rows = upstream.m_rows;
    }
    return reply;
}

int fake_upstreams::commit(fake_upstream& upstream) {
    ++upstream.m_position.m_offset;
    upstream.m_position.m_term = upstream.m_term;
    int received = 0;
    for (auto& [id, each] : m_upstreams) {
        if (each.m_entry.m_group == upstream.m_entry.m_group && !each.m_is_primary && each.m_replicates &&
            !each.m_down) {
            each.m_position = upstream.m_position;
            ++received;
        }
    }
    return received;
}

void fake_upstreams::set_receiving(const std::string& id, bool receives) {
    fake_upstream& replica = m_upstreams.at(id);
    replica.m_replicates = receives;
    if (!receives || replica.m_is_primary) {
        return;
    }
    const fake_upstream* newest = nullptr;
    for (const auto& [name, each] : m_upstreams) {
        if (each.m_entry.m_group == replica.m_entry.m_group && each.m_is_primary && !each.m_down &&
            (newest == nullptr || each.m_term > newest->m_term)) {
            newest = &each;
        }
    }
    if (newest != nullptr) {
        replica.m_position = newest->m_position;
    }
}

void fake_upstreams::promote(const std::string& id) {
    ++m_promotions;
    m_on_ordered(id);
    m_clock.after(m_promotion_time, [this, id] {
        fake_upstream& next = m_upstreams.at(id);
        std::uint64_t newest = 0;
        for (const auto& [name, each] : m_upstreams) {
            if (each.m_entry.m_group == next.m_entry.m_group) {
                newest = std::max(newest, each.m_term);
            }
        }
        next.m_term = newest + 1;
        next.m_is_primary = true;
        m_on_promoted(id);
        for (auto& [name, each] : m_upstreams) {
            const bool follows = each.m_entry.m_group == next.m_entry.m_group && !each.m_is_primary &&
                                 each.m_replicates && !each.m_down;
            each.m_position = follows ? next.m_position : each.m_position;
        }
    });
}

void fake_upstreams::crash(const std::string& id) {
    m_upstreams.at(id).m_down = true;
    const std::vector<connection_ptr> open = m_connections;
    for (const connection_ptr& each : open) {
        if (each->m_upstream == id) {
            drop(each);
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
