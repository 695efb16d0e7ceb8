/// \file line_upstreams.cpp
#include "line_platform/line_upstreams.hpp"

#include <algorithm>
#include <sstream>

namespace standin {
namespace {

using namespace anvilmount;

constexpr milliseconds statement_time{12};
constexpr milliseconds greeting_time{12};
constexpr milliseconds usual_lag{60};
constexpr milliseconds promotion_time{600};
constexpr milliseconds old_primary_time{1000}; ///< Until a replaced primary learns of it by itself.
constexpr milliseconds catch_up_period{500};
constexpr std::size_t most_waiting_per_slot = 12;

std::string first_word(std::string& rest) {
    const std::size_t end = std::min(rest.find(' '), rest.size());
    std::string word = rest.substr(0, end);
    rest.erase(0, std::min(end + 1, rest.size()));
    return word;
}

std::string failed(const std::string& code) {
    return "ERROR " + code + " standin\r\n";
}

std::string completed(const std::string& proof = "-") {
    return "COMPLETE " + proof + "\r\n";
}

}

result<void> line_upstreams::add(const line_upstream_options& options) {
    member& made = m_members[options.m_id];
    made.m_options = options;
    made.m_is_primary = options.m_is_primary;
    if (!m_replication_scheduled) {
        m_replication_scheduled = true;
        replicate_periodically();
    }
    return listen(made);
}

result<void> line_upstreams::listen(member& at) {
    BOOST_LEAF_ASSIGN(at.m_listener,
                      tcp_listener::listen(m_loop, at.m_options.m_listen,
                                           [this, id = at.m_options.m_id](int fd) { accept(id, fd); }));
    return {};
}

void line_upstreams::set_faults(const std::string& id, const line_upstream_faults& faults) {
    member& at = m_members.at(id);
    const bool was_down = at.m_faults.m_down;
    at.m_faults = faults;
    if (faults.m_down && !was_down) {
        at.m_listener.reset();
        const auto open = at.m_connections;
        for (const connection_ptr& each : open) {
            close(each);
        }
        at.m_slot_queue.clear();
        at.m_running_statements = 0;
    } else if (!faults.m_down && was_down) {
        [[maybe_unused]] const auto problem = failure_of([&] { return listen(at); });
        if (newest_primary(at.m_options.m_group) != id) {
            demote(at);
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
        m_loop.after(old_primary_time, [this, id] { replicate(id); });
    });
    return true;
}

void line_upstreams::demote(member& at) {
    if (at.m_is_primary) {
        at.m_is_primary = false;
        m_observers.m_on_role_change(at.m_options.m_id);
    }
}

void line_upstreams::accept(const std::string& id, int fd) {
    member& at = m_members.at(id);
    const auto made = std::make_shared<connection>();
    made->m_number = m_next_number++;
    made->m_upstream_id = id;
    const std::weak_ptr<connection> weak = made;
    made->m_stream = tcp_stream::adopt(m_loop, fd,
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
    at.m_connections.insert(made);
}

/// Rolls back what is open.
void line_upstreams::close(const connection_ptr& on) {
    on->m_stream->close();
    m_members.at(on->m_upstream_id).m_connections.erase(on);
}

void line_upstreams::on_bytes(const connection_ptr& on, std::string_view bytes) {
    on->m_input.append(bytes);
    for (std::size_t end = on->m_input.find("\r\n"); end != std::string::npos;
         end = on->m_input.find("\r\n")) {
        on->m_pending_lines.push_back(on->m_input.substr(0, end));
        on->m_input.erase(0, end + 2);
    }
    process_lines(on);
}

void line_upstreams::process_lines(const connection_ptr& on) {
    while (!on->m_busy && !on->m_pending_lines.empty() && on->m_stream->is_open()) {
        std::string line = on->m_pending_lines.front();
        on->m_pending_lines.pop_front();
        const std::string word = first_word(line);
        if (word == "START") {
            handle_start(on, line);
        } else if (word == "QUERY" && on->m_handshake_done) {
            const std::string id = first_word(line);
            handle_query(on, id, line);
        } else {
            close(on);
        }
    }
}

void line_upstreams::handle_start(const connection_ptr& on, const std::string& line) {
    const member& at = m_members.at(on->m_upstream_id);
    std::istringstream fields(line);
    std::string service;
    std::string who;
    std::string expected;
    fields >> service >> who >> expected;
    const bool misrouted =
        service != at.m_options.m_group || (!expected.empty() && expected != at.m_options.m_id);
    const bool full = at.m_connections.size() > static_cast<std::size_t>(at.m_options.m_max_connections);
    if (misrouted || full) {
        on->m_stream->write(failed(misrouted ? "MISROUTED" : "TOOMANY"));
        on->m_stream->close_after_writing();
        m_loop.defer([this, on] { m_members.at(on->m_upstream_id).m_connections.erase(on); });
        return;
    }
    on->m_busy = true;
    m_loop.after(greeting_time, [this, on] {
        on->m_busy = false;
        on->m_handshake_done = true;
        reply(on, {});
        process_lines(on);
    });
}

void line_upstreams::handle_query(const connection_ptr& on, const std::string& id,
                                  const std::string& text) {
    std::string rest = text;
    std::string word = first_word(rest);
    std::string bare = text;
    if (word == "AFTER") {
        const std::string position = first_word(rest);
        bare = rest;
        if (is_behind(m_members.at(on->m_upstream_id), position)) {
            reply(on, failed("LAGGING"));
            return;
        }
        word = first_word(rest);
    }
    if (word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT" || word == "STATUS") {
        run_in_slot(on, id, bare);
        return;
    }
    reply(on, run_without_slot(*on, bare));
}

void line_upstreams::run_in_slot(const connection_ptr& on, const std::string& id, const std::string& text) {
    member& at = m_members.at(on->m_upstream_id);
    on->m_busy = true;
    const auto work = [this, on, id, text] {
        member& here = m_members.at(on->m_upstream_id);
        ++here.m_running_statements;
        m_loop.after(statement_time * here.m_faults.m_slowdown_factor, [this, on, id, text] {
            member& runs_at = m_members.at(on->m_upstream_id);
            if (!on->m_stream->is_open() || runs_at.m_faults.m_down) {
                release_slot(on->m_upstream_id);
                return;
            }
            const std::string said = execute(*on, id, text);
            on->m_busy = false;
            std::bernoulli_distribution loses(runs_at.m_faults.m_answer_loss_rate);
            const bool lost = text != "STATUS" && loses(m_random);
            release_slot(on->m_upstream_id);
            if (lost) {
                close(on);
                return;
            }
            reply(on, said);
            process_lines(on);
        });
    };
    const auto slots = static_cast<std::size_t>(at.m_options.m_slots);
    if (at.m_slot_queue.size() >= slots * most_waiting_per_slot) {
        on->m_busy = false;
        reply(on, failed("BUSY"));
    } else if (at.m_running_statements >= at.m_options.m_slots) {
        at.m_slot_queue.push_back(work);
    } else {
        work();
    }
}

void line_upstreams::release_slot(const std::string& id) {
    member& at = m_members.at(id);
    at.m_running_statements = std::max(0, at.m_running_statements - 1);
    if (!at.m_slot_queue.empty() && at.m_running_statements < at.m_options.m_slots) {
        const auto next = std::move(at.m_slot_queue.front());
        at.m_slot_queue.pop_front();
        next();
    }
}

/// Statements that take no slot.
std::string line_upstreams::run_without_slot(connection& on, const std::string& text) {
    std::string rest = text;
    const std::string word = first_word(rest);
    if (word == "BEGIN") {
        return begin(on, rest == "READ");
    }
    if (word == "ROLLBACK") {
        on.m_transaction = 0;
        on.m_failed = false;
        on.m_writes.clear();
        on.m_write_ids.clear();
        return completed();
    }
    if (on.m_failed) {
        return failed("MALFORMED");
    }
    if (word == "RESET") {
        on.m_variables.clear();
        on.m_prepared.clear();
        return completed();
    }
    if (word == "SET") {
        const std::string name = first_word(rest);
        on.m_variables[name] = rest;
        return completed();
    }
    if (word == "PREPARE") {
        const std::string name = first_word(rest);
        const std::string access = first_word(rest);
        on.m_prepared[name] = {.m_access = access, .m_shape = rest};
        return completed();
    }
    if (word == "DEMOTE") {
        member& at = m_members.at(on.m_upstream_id);
        if (std::stoull(rest) > at.m_term) {
            demote(at);
        }
        return status(at);
    }
    return failed("MALFORMED");
}

std::string line_upstreams::begin(connection& on, bool read_only) {
    if (on.m_transaction != 0 || on.m_failed) {
        return failed("MALFORMED");
    }
    if (!read_only && !m_members.at(on.m_upstream_id).m_is_primary) {
        return failed("READONLY");
    }
    on.m_transaction = m_next_number++;
    on.m_read_only = read_only;
    return completed();
}

std::string line_upstreams::status(const member& at) const {
    return "ROW " + std::string(at.m_is_primary ? "primary" : "replica") + " " + std::to_string(at.m_term) +
           " " + std::to_string(at.m_term) + "." + std::to_string(at.m_log.size()) + " 0 " +
           std::to_string(at.m_faults.m_extra_lag.count()) + " " + std::to_string(at.m_running_statements) +
           " " + std::to_string(at.m_connections.size()) + "\r\n" + completed();
}

bool line_upstreams::is_behind(const member& at, const std::string& position) const {
    const std::size_t dot = position.find('.');
    const std::uint64_t term = std::stoull(position.substr(0, dot));
    const std::uint64_t number = std::stoull(position.substr(dot + 1));
    return at.m_term < term || at.m_log.size() < number;
}

std::string line_upstreams::value_of(const member& at, const connection& on,
                                     const std::string& item) const {
    for (auto each = on.m_writes.rbegin(); each != on.m_writes.rend(); ++each) {
        if (each->first == item) {
            return each->second;
        }
    }
    for (auto each = at.m_log.rbegin(); each != at.m_log.rend(); ++each) {
        const auto found = (*each)->m_items.find(item);
        if (found != (*each)->m_items.end()) {
            return found->second;
        }
    }
    return "none";
}

std::string line_upstreams::execute(connection& on, const std::string& id, const std::string& text) {
    member& at = m_members.at(on.m_upstream_id);
    if (text == "STATUS") {
        return status(at);
    }
    if (text == "COMMIT") {
        return commit(on, id);
    }
    if (on.m_failed) {
        return failed("MALFORMED");
    }
    std::string rest = text;
    std::string word = first_word(rest);
    std::string shown = text;
    if (word == "EXECUTE") {
        const auto known = on.m_prepared.find(first_word(rest));
        if (known == on.m_prepared.end()) {
            return failed("NOSTMT");
        }
        word = known->second.m_access;
        shown = "EXECUTE " + word + " " + known->second.m_shape + " " + rest;
    }
    const bool writes = word == "WRITE";
    const bool lost_lead = on.m_transaction != 0 && !on.m_read_only && !at.m_is_primary;
    if ((writes && !at.m_is_primary) || lost_lead) {
        on.m_failed = on.m_transaction != 0;
        return failed("READONLY");
    }
    line_execution made{.m_upstream = on.m_upstream_id,
                        .m_id = id,
                        .m_text = shown,
                        .m_connection = on.m_number,
                        .m_transaction = on.m_transaction,
                        .m_variables = on.m_variables,
                        .m_proof = std::to_string(at.m_term) + "." + std::to_string(m_next_number++)};
    const std::string item = first_word(rest);
    if (!writes) {
        made.m_rows.push_back(value_of(at, on, item));
    } else if (on.m_transaction != 0) {
        on.m_writes.emplace_back(item, rest);
        on.m_write_ids.push_back(id);
    }
    m_observers.m_on_execution(made);
    if (writes && on.m_transaction == 0) {
        append(at, {id}, {{item, rest}});
    }
    return (writes ? std::string{} : "ROW " + made.m_rows.front() + "\r\n") + completed(made.m_proof);
}

std::string line_upstreams::commit(connection& on, const std::string& id) {
    member& at = m_members.at(on.m_upstream_id);
    const bool lost = on.m_failed || (!on.m_writes.empty() && !at.m_is_primary);
    const line_execution made{.m_upstream = on.m_upstream_id,
                              .m_id = id,
                              .m_text = "COMMIT",
                              .m_connection = on.m_number,
                              .m_transaction = on.m_transaction,
                              .m_variables = on.m_variables,
                              .m_proof = std::to_string(at.m_term) + "." + std::to_string(m_next_number++)};
    const auto writes = std::exchange(on.m_writes, {});
    const auto ids = std::exchange(on.m_write_ids, {});
    if (!lost) {
        m_observers.m_on_execution(made);
    }
    on.m_transaction = 0;
    on.m_failed = false;
    if (lost) {
        return failed("READONLY");
    }
    if (!writes.empty()) {
        append(at, ids, writes);
    }
    return completed(made.m_proof);
}

void line_upstreams::append(member& at, std::vector<std::string> ids,
                            const std::vector<std::pair<std::string, std::string>>& writes) {
    const auto made = std::make_shared<line_commit>();
    made->m_term = at.m_term;
    made->m_statement_ids = std::move(ids);
    for (const auto& [item, data] : writes) {
        made->m_items[item] = data;
    }
    at.m_log.push_back(made);
    m_observers.m_on_commit(at.m_options.m_id, made);
    replicate(at.m_options.m_id);
}

void line_upstreams::replicate(const std::string& primary) {
    const member& from = m_members.at(primary);
    for (auto& [id, each] : m_members) {
        if (id == primary || each.m_options.m_group != from.m_options.m_group) {
            continue;
        }
        m_loop.after(usual_lag + each.m_faults.m_extra_lag,
                     [this, id = id, primary, count = from.m_log.size()] {
                         const member& sender = m_members.at(primary);
                         member& receiver = m_members.at(id);
                         if (sender.m_is_primary && !sender.m_faults.m_down && !receiver.m_faults.m_down &&
                             sender.m_term >= receiver.m_term && count <= sender.m_log.size()) {
                             apply_log(receiver, sender, count);
                         }
                     });
    }
}

void line_upstreams::apply_log(member& at, const member& from, std::size_t count) {
    const auto end = from.m_log.begin() + static_cast<std::ptrdiff_t>(count);
    if (at.m_term < from.m_term) {
        demote(at);
        at.m_term = from.m_term;
        at.m_log.assign(from.m_log.begin(), end);
    } else if (!at.m_is_primary && at.m_log.size() < count) {
        at.m_log.insert(at.m_log.end(), from.m_log.begin() + static_cast<std::ptrdiff_t>(at.m_log.size()),
                        end);
    }
}

void line_upstreams::reply(const connection_ptr& on, const std::string& text) {
    const member& at = m_members.at(on->m_upstream_id);
    const char state = on->m_failed ? 'E' : on->m_transaction != 0 ? 'T' : 'I';
    on->m_stream->write(text + "READY " + state + " " + std::to_string(at.m_term) + "." +
                        std::to_string(at.m_log.size()) + "\r\n");
}

/// Brings those up to date that missed something.
void line_upstreams::replicate_periodically() {
    for (const auto& [id, each] : m_members) {
        if (each.m_is_primary && !each.m_faults.m_down && newest_primary(each.m_options.m_group) == id) {
            replicate(id);
        }
    }
    m_loop.after(catch_up_period, [this] { replicate_periodically(); });
}

}
