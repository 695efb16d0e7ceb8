/// \file promise_ledger.cpp
/// Recording of the soak's events and the check that each of them triggers.
#include "soak/promise_ledger.hpp"

#include <algorithm>

namespace test {
namespace {

using anvilmount::steady_time;

/// A statement sent within this time before a gateway was last seen running has come after the announced
/// end of its session.
constexpr anvilmount::milliseconds last_moments{100};

bool is_read(const std::string& text) {
    return text.starts_with("READ ") || text.starts_with("EXECUTE READ ");
}

bool is_write(const std::string& text) {
    return text.starts_with("WRITE ") || text.starts_with("EXECUTE WRITE ");
}

/// Returns why a gateway may have left unanswered what was sent to it then; null if nothing explains it.
const char* excuse_for(steady_time sent_at, bool has_run, const gateway_life& life) {
    const bool suspended =
        life.m_told_to_stop && life.m_suspended_until >= std::max(sent_at, *life.m_told_to_stop);
    const bool after_end =
        life.m_told_to_stop && life.m_ended && !has_run && sent_at + last_moments > life.m_last_seen;
    return life.m_killed ? "killed"
           : suspended   ? "suspended"
           : after_end   ? "past its announced end"
                         : nullptr;
}

bool contains(const standin::line_log& log, std::size_t number, const std::string& id) {
    return number < log.size() &&
           std::count(log[number]->m_statement_ids.begin(), log[number]->m_statement_ids.end(), id) > 0;
}

}

void promise_ledger::report(const std::string& what) {
    m_violations.push_back(what);
}

std::uint64_t promise_ledger::successes(const std::string& database) const {
    const auto found = m_successes.find(database);
    return found == m_successes.end() ? 0 : found->second;
}

void promise_ledger::on_session_opened(std::uint64_t number, const soak_route& route) {
    m_sessions[number].m_route = route;
}

void promise_ledger::on_statement_sent(const sent_statement& what) {
    m_statements[what.m_id].m_sent = what;
    attempt& attempt_record = m_attempts[what.m_attempt];
    attempt_record.m_started = attempt_record.m_started.value_or(what.m_at);
    attempt_record.m_commit_sent = attempt_record.m_commit_sent || what.m_text == "COMMIT";
}

void promise_ledger::on_value_set(std::uint64_t number, const std::string& name, const std::string& value) {
    m_sessions[number].m_values[name] = value;
}

void promise_ledger::on_answer_received(const std::string& id, const received_answer& what,
                                        steady_time now) {
    const statement& known = m_statements.at(id);
    attempt& attempt_record = m_attempts.at(known.m_sent.m_attempt);
    if (what.m_success == what.m_failed) {
        report("answered with " + std::string(what.m_success ? "both success and error" : "no result") +
               ": " + id);
    }
    if (what.m_guarantees_no_effect) {
        attempt_record.m_no_effect_guaranteed = true;
        if (!attempt_record.m_committed.empty()) {
            report("refused as without effect, but committed: " + id);
        }
        return;
    }
    const std::string& text = known.m_sent.m_text;
    if (!what.m_success || !(is_read(text) || is_write(text) || text == "COMMIT")) {
        return;
    }
    ++m_successes[m_sessions.at(known.m_sent.m_session).m_route.m_database];
    // A transaction that sent no statement to an upstream commits without a run there.
    if (text == "COMMIT" && !attempt_record.m_transaction) {
        return;
    }
    const auto answered = std::find_if(known.m_runs.begin(), known.m_runs.end(), [&](const run& each) {
        return each.m_proof == what.m_proof && each.m_rows == what.m_rows;
    });
    if (answered == known.m_runs.end()) {
        report("answered with success, but not with the proof and rows of the upstream: " + id);
    } else if (!answered->m_missing_commit.empty()) {
        report("read at " + answered->m_upstream + " lacks " + answered->m_missing_commit + ": " + id);
    }
    record_acknowledgement(known, now);
}

/// Marks the commits of a successful statement, if any, as acknowledged to the caller.
void promise_ledger::record_acknowledgement(const statement& known, steady_time now) {
    const sent_statement& sent = known.m_sent;
    const std::set<std::string>& ids = m_attempts.at(sent.m_attempt).m_committed;
    if (sent.m_in_transaction ? sent.m_text != "COMMIT" : !is_write(sent.m_text)) {
        return;
    }
    for (const std::string& id : ids) {
        commit_record& record = m_commits[m_commit_index.at(id)];
        if (record.m_acknowledged) {
            continue;
        }
        record.m_acknowledged = now;
        m_acknowledged[record.m_group].push_back(m_commit_index.at(id));
        if (record.m_superseded) {
            report("acknowledged a write of a replaced primary: " + id);
        }
    }
}

void promise_ledger::on_closed_unanswered(const std::string& id, const gateway_life& life) {
    const sent_statement& sent = m_statements.at(id).m_sent;
    if (const char* const excuse = excuse_for(sent.m_at, has_run(id), life)) {
        ++m_excused[excuse];
    } else {
        report("connection closed without an answer: " + id +
               (sent.m_before_half_close ? ", sending shut down" : "") +
               (life.m_told_to_stop ? ", told to stop" : "") + (life.m_ended ? ", ended" : "") +
               (has_run(id) ? ", has run" : ""));
    }
}

void promise_ledger::on_start_ended(const ended_start& what, const gateway_life& life) {
    if (what.m_was_answered && !what.m_was_reset) {
        return;
    }
    const steady_time opened_at = what.m_connected_at.value_or(what.m_ended_at);
    if (!what.m_was_answered && !what.m_was_received && what.m_was_reset && !life.m_killed &&
        life.m_told_to_stop && opened_at >= *life.m_told_to_stop) {
        const auto after_signal = [&](steady_time when) {
            return std::chrono::duration_cast<anvilmount::milliseconds>(when - *life.m_told_to_stop);
        };
        m_reset_starts.push_back({.m_connected_after = what.m_connected_at
                                                           ? std::optional(after_signal(opened_at))
                                                           : std::nullopt,
                                  .m_reset_after = after_signal(what.m_ended_at)});
        return;
    }
    if (const char* const excuse = excuse_for(opened_at, false, life)) {
        ++m_excused[excuse];
    } else {
        report(std::string("connection ") + (what.m_was_reset ? "reset" : "closed") +
               (what.m_was_answered ? " after START was refused" : " without an answer to START") +
               (life.m_told_to_stop ? ": told to stop" : ""));
    }
}

void promise_ledger::on_statement_run(const standin::line_execution& what) {
    const auto known = m_statements.find(what.m_id);
    if (known == m_statements.end()) {
        report("ran a statement that no caller sent: " + what.m_id + " " + what.m_text);
        return;
    }
    check_run(known->second, what);
    known->second.m_runs.push_back({.m_upstream = what.m_upstream,
                                    .m_proof = what.m_proof,
                                    .m_rows = what.m_rows,
                                    .m_missing_commit = is_read(what.m_text)
                                                            ? find_missing_commit(known->second, what)
                                                            : std::string{}});
}

bool promise_ledger::has_run(const std::string& id) const {
    return !m_statements.at(id).m_runs.empty();
}

void promise_ledger::check_run(const statement& known, const standin::line_execution& what) {
    const sent_statement& sent = known.m_sent;
    if (sent.m_text != what.m_text) {
        report("ran a different text: " + what.m_text + " for " + sent.m_text + ", " + sent.m_id);
    }
    if (m_sessions.at(sent.m_session).m_values != what.m_variables) {
        report("ran with different session values: " + sent.m_id);
    }
    if (sent.m_in_transaction != (what.m_transaction != 0)) {
        report("ran inside or outside a transaction, contrary to the caller: " + sent.m_id);
    }
    if (what.m_transaction == 0) {
        return;
    }
    attempt& attempt_record = m_attempts.at(sent.m_attempt);
    const auto owner = m_transaction_attempts.emplace(what.m_transaction, sent.m_attempt).first->second;
    if (owner != sent.m_attempt ||
        attempt_record.m_transaction.value_or(what.m_transaction) != what.m_transaction) {
        report("ran in a different transaction: " + sent.m_id);
    }
    attempt_record.m_transaction = what.m_transaction;
}

/// Returns the id of a commit that the read had to see and that its upstream's log lacks; empty if none.
std::string promise_ledger::find_missing_commit(const statement& read,
                                                const standin::line_execution& what) const {
    const session& reader = m_sessions.at(read.m_sent.m_session);
    const soak_route& route = reader.m_route;
    const auto acknowledged = m_acknowledged.find(route.m_group);
    if (acknowledged == m_acknowledged.end()) {
        return {};
    }
    const attempt& attempt_record = m_attempts.at(read.m_sent.m_attempt);
    const steady_time sent_at = read.m_sent.m_in_transaction ? *attempt_record.m_started : read.m_sent.m_at;
    const standin::line_log& log = m_log_of(what.m_upstream);
    const standin::line_log& newest = m_log_of(m_current_primary(route.m_group));
    for (const std::size_t index : acknowledged->second) {
        const commit_record& each = m_commits[index];
        const bool own = route.m_freshness == freshness::own_commits &&
                         each.m_session == read.m_sent.m_session && *each.m_acknowledged < sent_at;
        const bool old = *each.m_acknowledged < sent_at - route.m_max_staleness;
        if ((own || old) && !contains(log, each.m_log_index, each.m_id) &&
            contains(newest, each.m_log_index, each.m_id)) {
            return each.m_id;
        }
    }
    return {};
}

void promise_ledger::on_committed(const standin::line_commit& what, bool superseded, bool excused) {
    for (const std::string& id : what.m_statement_ids) {
        const auto known = m_statements.find(id);
        if (known == m_statements.end()) {
            continue; // on_statement_run() has reported it.
        }
        const sent_statement& sent = known->second.m_sent;
        attempt& attempt_record = m_attempts.at(sent.m_attempt);
        if (m_commit_index.contains(id)) {
            report("took effect twice: " + id);
        }
        if (attempt_record.m_no_effect_guaranteed) {
            report("committed after it was refused as without effect: " + id);
        }
        if (sent.m_in_transaction && !attempt_record.m_commit_sent) {
            report("committed without the caller's COMMIT: " + id);
        }
        attempt_record.m_committed.insert(id);
        const std::string& group = m_sessions.at(sent.m_session).m_route.m_group;
        m_commit_index[id] = m_commits.size();
        m_commits.push_back({.m_session = sent.m_session,
                             .m_id = id,
                             .m_group = group,
                             .m_log_index = m_log_of(known->second.m_runs.back().m_upstream).size() - 1,
                             .m_superseded = superseded && !excused});
    }
}

void promise_ledger::on_promotion_ordered(const std::string& holder, std::uint64_t token) {
    if (token < m_newest_token || (token == m_newest_token && holder != m_newest_holder)) {
        report("promotion by " + holder + " with token " + std::to_string(token) + " after " +
               std::to_string(m_newest_token) + " of " + m_newest_holder);
    }
    m_newest_token = std::max(m_newest_token, token);
    m_newest_holder = holder;
}

}
