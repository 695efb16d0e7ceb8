/// \file store_relay.cpp
/// Answers relayed reads and watches from copies or the store, and batches relayed changes.
#include "anvilmount/gateway/store_relay.hpp"

#include "anvilmount/gateway/fleet_membership.hpp"
#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <utility>

namespace anvilmount::gateway {
namespace {

/// After its last relayed request, an instance reads the tables directly for this long.
constexpr milliseconds direct_preference_time{10000};

/// Many instances poll the members table. An answer may be this old: a quarter of the interval at
/// which most of them poll.
constexpr milliseconds max_relayed_read_age{2500};

/// The store accepts at most 100 entries in one change, conditions included.
constexpr std::size_t max_batch_entries = 98;

bool is_same_row(const store_row& one, const store_row& other) {
    return one.m_table == other.m_table && one.m_key == other.m_key;
}

bool contains_row(const std::vector<store_row>& rows, const store_row& wanted) {
    return std::any_of(rows.begin(), rows.end(),
                       [&](const store_row& each) { return is_same_row(each, wanted); });
}

/// Returns the conditions on rows that the change does not write itself.
std::vector<store_row> foreign_conditions(const store_change& change) {
    std::vector<store_row> conditions;
    std::copy_if(change.m_expected.begin(), change.m_expected.end(), std::back_inserter(conditions),
                 [&](const store_row& each) { return !contains_row(change.m_writes, each); });
    return conditions;
}

bool same_conditions(const std::vector<store_row>& left, const std::vector<store_row>& right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const store_row& one, const store_row& other) {
                          return is_same_row(one, other) && one.m_version == other.m_version;
                      });
}

bool writes_same_row(const store_change& left, const store_change& right) {
    return std::any_of(left.m_writes.begin(), left.m_writes.end(),
                       [&](const store_row& one) { return contains_row(right.m_writes, one); });
}

/// Whether a change would have been made on its own, where `refusal` names the rows as they are.
bool conditions_hold(const store_change& change, const store_answer& refusal) {
    return std::all_of(change.m_expected.begin(), change.m_expected.end(), [&](const store_row& expected) {
        const auto stored =
            std::find_if(refusal.m_rows.begin(), refusal.m_rows.end(),
                         [&](const store_row& each) { return is_same_row(each, expected); });
        return (stored == refusal.m_rows.end() ? store_version{} : stored->m_version) == expected.m_version;
    });
}

}

store_relay::store_relay(const clock_port& clock, const store_era& era, store_access& access,
                         metrics& counters, store_row renewals)
    : m_clock(clock), m_era(era), m_direct(era.port()), m_access(access), m_metrics(counters),
      m_renewal_row(std::move(renewals)) {
    m_access.set_change_batcher(
        [this](const store_change& request, const store_callback& done) { change(request, done); });
    m_access.set_change_reader([this](const read_question& request, const store_callback& done) {
        read(request, milliseconds{0}, done);
    });
}

void store_relay::share_copy(table_follower& copy) {
    m_copies[copy.table()] = &copy;
}

const table_follower* store_relay::usable_copy(const std::string& table) const {
    const auto found = m_copies.find(table);
    // Copies that are themselves read through relays are not used: two instances could feed each
    // other without ever reaching the store.
    const bool usable = found != m_copies.end() && found->second->is_loaded() &&
                        found->second->is_current() && !found->second->unavailable_since() &&
                        m_access.is_read_directly(table) &&
                        found->second->version().m_era == m_era.current();
    return usable ? found->second : nullptr;
}

/// Instances of the version before name no era. Their versions are taken to be of the present one, as
/// they do themselves.
void store_relay::assume_current_era(store_question& request) const {
    const auto assume = [&](store_version& version) {
        if (version.m_era == 0 && version.is_set()) {
            version.m_era = m_era.current();
        }
    };
    if (auto* wanted = std::get_if<read_question>(&request)) {
        assume(wanted->m_after_version);
    } else if (auto* followed = std::get_if<follow_question>(&request)) {
        assume(followed->m_after_version);
    } else {
        for (store_row& row : std::get<store_change>(request).m_expected) {
            assume(row.m_version);
        }
    }
}

void store_relay::serve(const std::string& bytes, responder respond) {
    auto request = decode_question(bytes);
    if (!request) {
        log_event(log_level::warning, "relay.unreadable_question");
        respond(std::nullopt);
        return;
    }
    if (const auto* introduction = std::get_if<member_introduction>(&*request)) {
        respond(m_on_introduction ? std::optional(encode_reply(m_on_introduction(*introduction)))
                                  : std::nullopt);
        return;
    }
    assume_current_era(*request);
    m_metrics.count("store_questions_served");
    const store_callback done = [respond = std::move(respond)](const store_answer& reply) {
        respond(encode_reply(reply));
    };
    if (m_access.is_direct_failing()) {
        done({.m_status = store_status::refused});
        return;
    }
    m_access.prefer_direct_until(m_clock.m_now() + direct_preference_time);
    if (const auto* wanted = std::get_if<read_question>(&*request)) {
        read(*wanted, max_relayed_read_age, done);
    } else if (const auto* followed = std::get_if<follow_question>(&*request)) {
        follow(*followed, done);
    } else {
        change(std::get<store_change>(*request), done);
    }
}

store_answer store_relay::answer_from(const table_copy& copy, const read_question& request) {
    store_answer reply{.m_status = store_status::done, .m_version = copy.version()};
    if (request.m_after_version.is_set()) {
        if (auto changes = copy.changes_since(request.m_after_version)) {
            reply.m_rows = std::move(*changes);
            reply.m_is_delta = true;
            return reply;
        }
    }
    for (const auto& [key, row] : copy.rows()) {
        reply.m_rows.push_back(row);
    }
    return reply;
}

void store_relay::read(const read_question& request, milliseconds max_age, const store_callback& done) {
    if (const table_follower* followed = usable_copy(request.m_table)) {
        done(answer_from(followed->copy(), request));
        return;
    }
    // Whoever reads the witnesses needs to know those of now.
    if (m_copies.contains(request.m_table) || request.m_table == witnesses_table) {
        read_whole(request.m_table, done);
        return;
    }
    const steady_time now = m_clock.m_now();
    polled_table& table = m_polled[request.m_table];
    const bool is_current_era = table.m_copy.version().m_era == m_era.current();
    if (table.m_copy.version().is_set() && is_current_era && now < table.m_read_at + max_age) {
        store_answer reply = answer_from(table.m_copy, request);
        reply.m_age = std::chrono::duration_cast<milliseconds>(now - table.m_read_at);
        done(reply);
        return;
    }
    table.m_waiting.push_back({.m_request = request, .m_since = now, .m_done = done});
    if (!table.m_requested_at) {
        table.m_requested_at = now;
        refresh(request.m_table, table);
    }
}

void store_relay::read_whole(const std::string& table, const store_callback& done) {
    shared_read& shared = m_shared_reads[table];
    shared.m_waiting.push_back(done);
    if (!shared.m_in_flight) {
        send_shared_read(table);
    }
}

void store_relay::send_shared_read(const std::string& table) {
    shared_read& shared = m_shared_reads[table];
    shared.m_in_flight = true;
    m_direct.m_read_table(
        table, [this, table, askers = std::exchange(shared.m_waiting, {})](const store_answer& reply) {
            shared_read& answered = m_shared_reads[table];
            answered.m_in_flight = false;
            if (!answered.m_waiting.empty()) {
                send_shared_read(table);
            }
            for (const store_callback& each : askers) {
                each(reply);
            }
        });
}

void store_relay::refresh(const std::string& name, polled_table& table) {
    const auto read_whole = [this, name] {
        m_direct.m_read_table(name, [this, name](const store_answer& reply) { on_refreshed(name, reply); });
    };
    if (!table.m_copy.version().is_set()) {
        read_whole();
        return;
    }
    m_direct.m_read_changes(name, table.m_copy.version(),
                            [this, name, read_whole](const store_answer& reply) {
                                if (reply.m_status == store_status::history_gone) {
                                    read_whole();
                                } else {
                                    on_refreshed(name, reply);
                                }
                            });
}

void store_relay::on_refreshed(const std::string& name, const store_answer& reply) {
    polled_table& table = m_polled.at(name);
    const steady_time requested_at = *std::exchange(table.m_requested_at, std::nullopt);
    const bool succeeded = reply.m_status == store_status::done;
    if (succeeded) {
        table.m_copy.apply(reply);
        table.m_read_at = requested_at;
    }
    for (const waiting_reader& each : std::exchange(table.m_waiting, {})) {
        store_answer answered = succeeded ? answer_from(table.m_copy, each.m_request)
                                          : store_answer{.m_status = reply.m_status};
        answered.m_age = std::chrono::ceil<milliseconds>(each.m_since - requested_at);
        each.m_done(answered);
    }
}

std::optional<store_answer> store_relay::changes_since(const table_copy& copy,
                                                       const follow_question& request) {
    if (copy.version().m_era != request.m_after_version.m_era ||
        copy.last_removal_version() > request.m_after_version) {
        return store_answer{.m_status = store_status::history_gone, .m_version = copy.version()};
    }
    if (copy.newest_row_version() <= request.m_after_version) {
        // Called for every waiting watch at each tick, so it must not iterate over the rows.
        return std::nullopt;
    }
    return answer_from(copy, {.m_table = request.m_table, .m_after_version = request.m_after_version});
}

void store_relay::follow(const follow_question& request, const store_callback& done) {
    if (!m_copies.contains(request.m_table)) {
        done({.m_status = store_status::refused});
        return;
    }
    const table_follower* copy = usable_copy(request.m_table);
    if (const auto reply = copy == nullptr ? std::nullopt : changes_since(copy->copy(), request)) {
        done(*reply);
        return;
    }
    // A copy that is read through another instance is soon read directly, because serve() has just
    // set that preference.
    m_followers.push_back(
        {.m_request = request, .m_deadline = m_clock.m_now() + request.m_timeout, .m_done = done});
}

void store_relay::change(const store_change& request, const store_callback& done) {
    const steady_time due = m_clock.m_now() + request.m_max_batch_delay;
    if (!request.m_removals.empty()) {
        m_direct.m_change(request, done);
        return;
    }
    const std::size_t entries = request.m_expected.size() + request.m_writes.size();
    const std::vector<store_row> foreign = foreign_conditions(request);
    auto joined = std::find_if(m_batches.begin(), m_batches.end(), [&](const change_batch& each) {
        return each.m_change.m_expected.size() + each.m_change.m_writes.size() + entries <=
                   max_batch_entries &&
               same_conditions(each.m_foreign_conditions, foreign) &&
               !writes_same_row(each.m_change, request);
    });
    if (joined == m_batches.end()) {
        m_batches.push_back(
            {.m_change = {.m_expected = foreign}, .m_foreign_conditions = foreign, .m_due = due});
        joined = std::prev(m_batches.end());
    }
    std::copy_if(request.m_expected.begin(), request.m_expected.end(),
                 std::back_inserter(joined->m_change.m_expected),
                 [&](const store_row& each) { return contains_row(request.m_writes, each); });
    std::copy(request.m_writes.begin(), request.m_writes.end(),
              std::back_inserter(joined->m_change.m_writes));
    if (request.m_renewal) {
        joined->m_renewals.push_back(*request.m_renewal);
    }
    joined->m_requesters.push_back({.m_change = request, .m_done = done});
    joined->m_due = std::min(joined->m_due, due);
    send_due_batch();
}

void store_relay::send_due_batch() {
    // Changes that arrive while one is in flight go together in the next: a slow store makes few
    // changes per second.
    if (m_change_in_flight) {
        return;
    }
    const steady_time now = m_clock.m_now();
    const auto due = std::find_if(m_batches.begin(), m_batches.end(),
                                  [&](const change_batch& each) { return m_leaving || now >= each.m_due; });
    if (due == m_batches.end()) {
        return;
    }
    change_batch batch = std::move(*due);
    m_batches.erase(due);
    m_change_in_flight = true;
    for (const lease_renewal& each : batch.m_renewals) {
        m_renewals.record(each.m_incarnation, each.m_count, now);
    }
    if (!batch.m_renewals.empty()) {
        store_row row = m_renewal_row;
        row.m_value = to_text(m_renewals.counts(now));
        batch.m_change.m_writes.push_back(std::move(row));
    }
    m_metrics.count("changes_made_for_others");
    m_direct.m_change(batch.m_change,
                      [this, requesters = batch.m_requesters](const store_answer& received) {
                          m_change_in_flight = false;
                          if (received.m_status == store_status::conflict) {
                              note_stored_rows(received);
                          }
                          answer_batch(requesters, received);
                          send_due_batch();
                      });
}

/// The change of one instance must not fail for another one's condition: those whose own conditions hold
/// are sent again, without the others.
void store_relay::answer_batch(const std::vector<requester>& requesters, const store_answer& received) {
    const auto holds = [&](const requester& each) { return conditions_hold(each.m_change, received); };
    const bool is_conflict = received.m_status == store_status::conflict;
    const bool blames_some = is_conflict && !std::all_of(requesters.begin(), requesters.end(), holds);
    for (const requester& each : requesters) {
        if (blames_some && holds(each)) {
            store_change again = each.m_change;
            again.m_max_batch_delay = milliseconds{0};
            change(again, each.m_done);
            continue;
        }
        store_answer reply = received;
        std::erase_if(reply.m_rows,
                      [&](const store_row& row) { return !contains_row(each.m_change.m_expected, row); });
        reply.m_renewed = each.m_change.m_renewal.has_value() && reply.m_status == store_status::done;
        each.m_done(reply);
    }
}

void store_relay::note_stored_rows(const store_answer& refusal) {
    for (const store_row& row : refusal.m_rows) {
        if (const auto copy = m_copies.find(row.m_table); copy != m_copies.end()) {
            copy->second->note_stored_version(row.m_version);
        }
    }
}

void store_relay::tick() {
    const steady_time now = m_clock.m_now();
    send_due_batch();
    std::list<waiting_follower> waiting = std::exchange(m_followers, {});
    for (waiting_follower& each : waiting) {
        const table_follower* copy = usable_copy(each.m_request.m_table);
        if (const auto reply =
                copy == nullptr ? std::nullopt : changes_since(copy->copy(), each.m_request)) {
            each.m_done(*reply);
        } else if (now < each.m_deadline) {
            m_followers.push_back(std::move(each));
        } else if (copy == nullptr) {
            each.m_done({.m_status = store_status::refused});
        } else {
            each.m_done({.m_status = store_status::done, .m_version = copy->version()});
        }
    }
}

}
