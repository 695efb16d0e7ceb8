/// \file line_upstreams.cpp
/// Runs the line protocol of all stand-in upstreams on one event loop. Execution
/// time and replication lag are timers.
#include "line_platform/line_upstreams.hpp"

#include <algorithm>
#include <sstream>

namespace standin {
namespace {

using namespace anvilmount;

constexpr milliseconds statement_time{12};
constexpr milliseconds handshake_time{12};
constexpr milliseconds replication_lag{60};
constexpr milliseconds promotion_time{600};
/// Time after a promotion at which the new primary's log is sent to the group. This
/// demotes a replaced primary that was not demoted before.
constexpr milliseconds old_primary_demotion_delay{1000};
constexpr milliseconds catch_up_interval{500};
constexpr std::size_t max_queued_per_slot = 12;

/// Removes the first word of `rest` and returns it.
std::string take_first_word(std::string& rest) {
    const std::size_t end = std::min(rest.find(' '), rest.size());
    std::string word = rest.substr(0, end);
    rest.erase(0, std::min(end + 1, rest.size()));
    return word;
}

std::string error_reply(const std::string& code) {
    return "ERROR " + code + " standin\r\n";
}

std::string complete_reply(const std::string& proof = "-") {
    return "COMPLETE " + proof + "\r\n";
}

}

result<void> line_upstreams::add(const line_upstream_options& options) {
    member& added = m_members[options.m_id];
    added.m_options = options;
    added.m_is_primary = options.m_is_primary;
    if (!m_replication_scheduled) {
        m_replication_scheduled = true;
        replicate_periodically();
    }
    return listen(added);
}

result<void> line_upstreams::listen(member& upstream) {
    BOOST_LEAF_ASSIGN(upstream.m_listener, tcp_listener::listen(m_loop, upstream.m_options.m_listen,
                                                                [this, id = upstream.m_options.m_id](
                                                                    int fd) { accept(id, fd); }));
    return {};
}

void line_upstreams::set_faults(const std::string& id, const line_upstream_faults& faults) {
    member& upstream = m_members.at(id);
    const bool was_down = upstream.m_faults.m_down;
    upstream.m_faults = faults;
    if (faults.m_down && !was_down) {
        upstream.m_listener.reset();
        const auto open = upstream.m_connections;
        for (const connection_ptr& each : open) {
            close(each);
        }
        upstream.m_slot_queue.clear();
        upstream.m_running_statements = 0;
    } else if (!faults.m_down && was_down) {
        [[maybe_unused]] const auto problem = failure_of([&] { return listen(upstream); });
        if (newest_primary(upstream.m_options.m_group) != id) {
            demote(upstream);
        }
    }
}

std::string line_upstreams::newest_primary(const std::string& group) const {
    const member* newest = nullptr;
    for (const auto& [id, each] : m_members) {
        if (each.m_options.m_group == group && each.m_is_primary &&
            (newest == nullptr || each.m_term > newest->m_term)) {
            newest = &each;
        }
    }
    return newest == nullptr ? std::string{} : newest->m_options.m_id;
}

bool line_upstreams::promote(const std::string& group, const std::string& id) {
    const auto found = m_members.find(id);
    if (found == m_members.end() || found->second.m_options.m_group != group ||
        found->second.m_faults.m_down) {
        return false;
    }
    if (newest_primary(group) == id) {
        return true;
    }
    m_loop.after(promotion_time, [this, group, id] {
        member& next = m_members.at(id);
        if (next.m_faults.m_down || newest_primary(group) == id) {
            return;
        }
        std::uint64_t newest = 0;
        for (const auto& [name, each] : m_members) {
            newest = each.m_options.m_group == group ? std::max(newest, each.m_term) : newest;
        }
        next.m_term = newest + 1;
        next.m_is_primary = true;
        m_observers.m_on_role_change(id);
        m_loop.after(old_primary_demotion_delay, [this, id] { replicate(id); });
    });
    return true;
}

void line_upstreams::demote(member& upstream) {
    if (upstream.m_is_primary) {
        upstream.m_is_primary = false;
        m_observers.m_on_role_change(upstream.m_options.m_id);
    }
}

void line_upstreams::accept(const std::string& id, int fd) {
    member& upstream = m_members.at(id);
    const auto accepted = std::make_shared<connection>();
    accepted->m_number = m_next_number++;
    accepted->m_upstream_id = id;
    const std::weak_ptr<connection> weak = accepted;
    accepted->m_stream = tcp_stream::adopt(m_loop, fd,
                                           {.m_on_bytes =
                                                [this, weak](std::string_view bytes) {
                                                    if (const auto open = weak.lock()) {
                                                        on_bytes(open, bytes);
                                                    }
                                                },
                                            .m_on_closed =
                                                [this, weak](close_reason) {
                                                    if (const auto open = weak.lock()) {
                                                        m_loop.defer([this, open] { close(open); });
                                                    }
                                                }});
    upstream.m_connections.insert(accepted);
}

/// Closes the connection. Its open transaction is discarded.
void line_upstreams::close(const connection_ptr& conn) {
    conn->m_stream->close();
    m_members.at(conn->m_upstream_id).m_connections.erase(conn);
}

void line_upstreams::on_bytes(const connection_ptr& conn, std::string_view bytes) {
    conn->m_input.append(bytes);
    for (std::size_t end = conn->m_input.find("\r\n"); end != std::string::npos;
         end = conn->m_input.find("\r\n")) {
        conn->m_pending_lines.push_back(conn->m_input.substr(0, end));
        conn->m_input.erase(0, end + 2);
    }
    process_lines(conn);
}

void line_upstreams::process_lines(const connection_ptr& conn) {
    while (!conn->m_busy && !conn->m_pending_lines.empty() && conn->m_stream->is_open()) {
        std::string line = conn->m_pending_lines.front();
        conn->m_pending_lines.pop_front();
        const std::string command = take_first_word(line);
        if (command == "START") {
            handle_start(conn, line);
        } else if (command == "QUERY" && conn->m_handshake_done) {
            const std::string id = take_first_word(line);
            handle_query(conn, id, line);
        } else {
            close(conn);
        }
    }
}

void line_upstreams::handle_start(const connection_ptr& conn, const std::string& line) {
    const member& upstream = m_members.at(conn->m_upstream_id);
    std::istringstream fields(line);
    std::string service;
    std::string user;
    std::string expected_upstream;
    fields >> service >> user >> expected_upstream;
    const bool misrouted = service != upstream.m_options.m_group ||
                           (!expected_upstream.empty() && expected_upstream != upstream.m_options.m_id);
    const bool full =
        upstream.m_connections.size() > static_cast<std::size_t>(upstream.m_options.m_max_connections);
    if (misrouted || full) {
        conn->m_stream->write(error_reply(misrouted ? "MISROUTED" : "TOOMANY"));
        conn->m_stream->close_after_flush();
        m_loop.defer([this, conn] { m_members.at(conn->m_upstream_id).m_connections.erase(conn); });
        return;
    }
    conn->m_busy = true;
    m_loop.after(handshake_time, [this, conn] {
        conn->m_busy = false;
        conn->m_handshake_done = true;
        reply(conn, {});
        process_lines(conn);
    });
}

void line_upstreams::handle_query(const connection_ptr& conn, const std::string& id,
                                  const std::string& text) {
    std::string rest = text;
    std::string command = take_first_word(rest);
    std::string statement = text;
    if (command == "AFTER") {
        const std::string position = take_first_word(rest);
        statement = rest;
        if (is_behind(m_members.at(conn->m_upstream_id), position)) {
            reply(conn, error_reply("LAGGING"));
            return;
        }
        command = take_first_word(rest);
    }
    if (command == "READ" || command == "WRITE" || command == "EXECUTE" || command == "COMMIT" ||
        command == "STATUS") {
        run_in_slot(conn, id, statement);
        return;
    }
    reply(conn, run_without_slot(*conn, statement));
}

void line_upstreams::run_in_slot(const connection_ptr& conn, const std::string& id,
                                 const std::string& text) {
    member& upstream = m_members.at(conn->m_upstream_id);
    conn->m_busy = true;
    const auto work = [this, conn, id, text] {
        member& busy_upstream = m_members.at(conn->m_upstream_id);
        ++busy_upstream.m_running_statements;
        m_loop.after(statement_time * busy_upstream.m_faults.m_slowdown_factor, [this, conn, id, text] {
            member& executor = m_members.at(conn->m_upstream_id);
            if (!conn->m_stream->is_open() || executor.m_faults.m_down) {
                release_slot(conn->m_upstream_id);
                return;
            }
            const std::string answer = execute(*conn, id, text);
            conn->m_busy = false;
            std::bernoulli_distribution loss(executor.m_faults.m_answer_loss_rate);
            const bool lost = text != "STATUS" && loss(m_random);
            release_slot(conn->m_upstream_id);
            if (lost) {
                close(conn);
                return;
            }
            reply(conn, answer);
            process_lines(conn);
        });
    };
    const auto slots = static_cast<std::size_t>(upstream.m_options.m_slots);
    if (upstream.m_slot_queue.size() >= slots * max_queued_per_slot) {
        conn->m_busy = false;
        reply(conn, error_reply("BUSY"));
    } else if (upstream.m_running_statements >= upstream.m_options.m_slots) {
        upstream.m_slot_queue.push_back(work);
    } else {
        work();
    }
}

void line_upstreams::release_slot(const std::string& id) {
    member& upstream = m_members.at(id);
    upstream.m_running_statements = std::max(0, upstream.m_running_statements - 1);
    if (!upstream.m_slot_queue.empty() && upstream.m_running_statements < upstream.m_options.m_slots) {
        const auto next = std::move(upstream.m_slot_queue.front());
        upstream.m_slot_queue.pop_front();
        next();
    }
}

/// Executes a statement that needs no slot.
std::string line_upstreams::run_without_slot(connection& conn, const std::string& text) {
    std::string rest = text;
    const std::string command = take_first_word(rest);
    if (command == "BEGIN") {
        return begin(conn, rest == "READ");
    }
    if (command == "ROLLBACK") {
        conn.m_transaction = 0;
        conn.m_failed = false;
        conn.m_writes.clear();
        conn.m_write_ids.clear();
        return complete_reply();
    }
    if (conn.m_failed) {
        return error_reply("MALFORMED");
    }
    if (command == "RESET") {
        conn.m_variables.clear();
        conn.m_prepared.clear();
        return complete_reply();
    }
    if (command == "SET") {
        const std::string name = take_first_word(rest);
        conn.m_variables[name] = rest;
        return complete_reply();
    }
    if (command == "PREPARE") {
        const std::string name = take_first_word(rest);
        const std::string access = take_first_word(rest);
        conn.m_prepared[name] = {.m_access = access, .m_shape = rest};
        return complete_reply();
    }
    if (command == "DEMOTE") {
        member& upstream = m_members.at(conn.m_upstream_id);
        if (std::stoull(rest) > upstream.m_term) {
            demote(upstream);
        }
        return status(upstream);
    }
    return error_reply("MALFORMED");
}

std::string line_upstreams::begin(connection& conn, bool read_only) {
    if (conn.m_transaction != 0 || conn.m_failed) {
        return error_reply("MALFORMED");
    }
    if (!read_only && !m_members.at(conn.m_upstream_id).m_is_primary) {
        return error_reply("READONLY");
    }
    conn.m_transaction = m_next_number++;
    conn.m_read_only = read_only;
    return complete_reply();
}

std::string line_upstreams::status(const member& upstream) const {
    return "ROW " + std::string(upstream.m_is_primary ? "primary" : "replica") + " " +
           std::to_string(upstream.m_term) + " " + std::to_string(upstream.m_term) + "." +
           std::to_string(upstream.m_log.size()) + " 0 " +
           std::to_string(upstream.m_faults.m_extra_lag.count()) + " " +
           std::to_string(upstream.m_running_statements) + " " +
           std::to_string(upstream.m_connections.size()) + "\r\n" + complete_reply();
}

bool line_upstreams::is_behind(const member& upstream, const std::string& position) const {
    const std::size_t dot = position.find('.');
    const std::uint64_t term = std::stoull(position.substr(0, dot));
    const std::uint64_t number = std::stoull(position.substr(dot + 1));
    return upstream.m_term < term || upstream.m_log.size() < number;
}

std::string line_upstreams::value_of(const member& upstream, const connection& conn,
                                     const std::string& item) const {
    for (auto each = conn.m_writes.rbegin(); each != conn.m_writes.rend(); ++each) {
        if (each->first == item) {
            return each->second;
        }
    }
    for (auto each = upstream.m_log.rbegin(); each != upstream.m_log.rend(); ++each) {
        const auto found = (*each)->m_items.find(item);
        if (found != (*each)->m_items.end()) {
            return found->second;
        }
    }
    return "none";
}

std::string line_upstreams::execute(connection& conn, const std::string& id, const std::string& text) {
    member& upstream = m_members.at(conn.m_upstream_id);
    if (text == "STATUS") {
        return status(upstream);
    }
    if (text == "COMMIT") {
        return commit(conn, id);
    }
    if (conn.m_failed) {
        return error_reply("MALFORMED");
    }
    std::string rest = text;
    std::string command = take_first_word(rest);
    std::string reported_text = text;
    if (command == "EXECUTE") {
        const auto known = conn.m_prepared.find(take_first_word(rest));
        if (known == conn.m_prepared.end()) {
            return error_reply("NOSTMT");
        }
        command = known->second.m_access;
        reported_text = "EXECUTE " + command + " " + known->second.m_shape + " " + rest;
    }
    const bool writes = command == "WRITE";
    const bool lost_primary_role = conn.m_transaction != 0 && !conn.m_read_only && !upstream.m_is_primary;
    if ((writes && !upstream.m_is_primary) || lost_primary_role) {
        conn.m_failed = conn.m_transaction != 0;
        return error_reply("READONLY");
    }
    line_execution execution{.m_upstream = conn.m_upstream_id,
                             .m_id = id,
                             .m_text = reported_text,
                             .m_connection = conn.m_number,
                             .m_transaction = conn.m_transaction,
                             .m_variables = conn.m_variables,
                             .m_proof =
                                 std::to_string(upstream.m_term) + "." + std::to_string(m_next_number++)};
    const std::string item = take_first_word(rest);
    if (!writes) {
        execution.m_rows.push_back(value_of(upstream, conn, item));
    } else if (conn.m_transaction != 0) {
        conn.m_writes.emplace_back(item, rest);
        conn.m_write_ids.push_back(id);
    }
    m_observers.m_on_execution(execution);
    if (writes && conn.m_transaction == 0) {
        append(upstream, {id}, {{item, rest}});
    }
    return (writes ? std::string{} : "ROW " + execution.m_rows.front() + "\r\n") +
           complete_reply(execution.m_proof);
}

std::string line_upstreams::commit(connection& conn, const std::string& id) {
    member& upstream = m_members.at(conn.m_upstream_id);
    const bool rejected = conn.m_failed || (!conn.m_writes.empty() && !upstream.m_is_primary);
    const line_execution execution{.m_upstream = conn.m_upstream_id,
                                   .m_id = id,
                                   .m_text = "COMMIT",
                                   .m_connection = conn.m_number,
                                   .m_transaction = conn.m_transaction,
                                   .m_variables = conn.m_variables,
                                   .m_proof = std::to_string(upstream.m_term) + "." +
                                              std::to_string(m_next_number++)};
    const auto writes = std::exchange(conn.m_writes, {});
    const auto ids = std::exchange(conn.m_write_ids, {});
    if (!rejected) {
        m_observers.m_on_execution(execution);
    }
    conn.m_transaction = 0;
    conn.m_failed = false;
    if (rejected) {
        return error_reply("READONLY");
    }
    if (!writes.empty()) {
        append(upstream, ids, writes);
    }
    return complete_reply(execution.m_proof);
}

void line_upstreams::append(member& upstream, std::vector<std::string> ids,
                            const std::vector<std::pair<std::string, std::string>>& writes) {
    const auto entry = std::make_shared<line_commit>();
    entry->m_term = upstream.m_term;
    entry->m_statement_ids = std::move(ids);
    for (const auto& [item, data] : writes) {
        entry->m_items[item] = data;
    }
    upstream.m_log.push_back(entry);
    m_observers.m_on_commit(upstream.m_options.m_id, entry);
    replicate(upstream.m_options.m_id);
}

void line_upstreams::replicate(const std::string& primary) {
    const member& source = m_members.at(primary);
    for (auto& [id, each] : m_members) {
        if (id == primary || each.m_options.m_group != source.m_options.m_group) {
            continue;
        }
        m_loop.after(replication_lag + each.m_faults.m_extra_lag,
                     [this, id = id, primary, count = source.m_log.size()] {
                         const member& sender = m_members.at(primary);
                         member& receiver = m_members.at(id);
                         if (sender.m_is_primary && !sender.m_faults.m_down && !receiver.m_faults.m_down &&
                             sender.m_term >= receiver.m_term && count <= sender.m_log.size()) {
                             apply_log(receiver, sender, count);
                         }
                     });
    }
}

void line_upstreams::apply_log(member& upstream, const member& source, std::size_t count) {
    const auto end = source.m_log.begin() + static_cast<std::ptrdiff_t>(count);
    if (upstream.m_term < source.m_term) {
        demote(upstream);
        upstream.m_term = source.m_term;
        upstream.m_log.assign(source.m_log.begin(), end);
    } else if (!upstream.m_is_primary && upstream.m_log.size() < count) {
        upstream.m_log.insert(upstream.m_log.end(),
                              source.m_log.begin() + static_cast<std::ptrdiff_t>(upstream.m_log.size()),
                              end);
    }
}

void line_upstreams::reply(const connection_ptr& conn, const std::string& text) {
    const member& upstream = m_members.at(conn->m_upstream_id);
    const char state = conn->m_failed ? 'E' : conn->m_transaction != 0 ? 'T' : 'I';
    conn->m_stream->write(text + "READY " + state + " " + std::to_string(upstream.m_term) + "." +
                          std::to_string(upstream.m_log.size()) + "\r\n");
}

/// Sends the log of each group's newest primary at a fixed interval, for upstreams
/// that missed an earlier transfer.
void line_upstreams::replicate_periodically() {
    for (const auto& [id, each] : m_members) {
        if (each.m_is_primary && !each.m_faults.m_down && newest_primary(each.m_options.m_group) == id) {
            replicate(id);
        }
    }
    m_loop.after(catch_up_interval, [this] { replicate_periodically(); });
}

}
