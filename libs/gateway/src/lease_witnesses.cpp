/// \file lease_witnesses.cpp
/// Reads and writes the witnesses' rows, and exchanges introductions.
#include "anvilmount/gateway/lease_witnesses.hpp"

#include "anvilmount/observe/event_log.hpp"

#include <utility>

namespace anvilmount::gateway {
namespace {

/// Between two reads of the rows; the first one may fail, or be answered from before the lease.
constexpr milliseconds read_interval{250};

/// While a witness does not answer: it may have ended, and its row be removed.
constexpr milliseconds reread_interval{2000};

/// Several times the time of a message between data centres.
constexpr milliseconds introduction_timeout{200};

/// After a change of the rows that was not made.
constexpr milliseconds change_retry_delay{1000};

/// At which the coordinator looks for rows of witnesses that have ended.
constexpr milliseconds review_interval{15000};

introduction_result result_of(const std::optional<store_answer>& reply) {
    if (!reply) {
        return introduction_result::unanswered;
    }
    switch (reply->m_status) {
    case store_status::done:
        return introduction_result::known;
    case store_status::conflict:
        return introduction_result::ended;
    default:
        return introduction_result::unanswered;
    }
}

}

void lease_witnesses::on_lease_obtained(const store_version& version) {
    m_ports.m_lease->make_provisional();
    m_introductions.begin(version);
    m_witness_since.reset();
    m_read_sent_at = {};
}

void lease_witnesses::on_new_era(std::uint64_t era) {
    m_era = era;
    m_rows.reset();
    m_witness_since.reset();
}

bool lease_witnesses::knows_all_leases() const {
    return m_witness_since && m_ports.m_directory->version() >= *m_witness_since &&
           m_ports.m_lease->is_valid(m_ports.m_clock->m_now());
}

store_answer lease_witnesses::on_introduction(const member_introduction& introduction) {
    if (introduction.m_to_incarnation != m_options.m_incarnation || m_has_left) {
        return {.m_status = store_status::conflict};
    }
    const auto record = parse_member_record(introduction.m_member);
    // Leases of an earlier era may have been settled here without the sender's.
    if (!record || introduction.m_since.m_era < m_era) {
        log_event(log_level::info, "member.introduction_refused",
                  {{"member", record ? record->m_name : "unreadable"},
                   {"since", to_string(introduction.m_since)},
                   {"era", std::to_string(m_era)}});
        return {.m_status = store_status::refused};
    }
    m_ports.m_directory->introduce(*record, m_ports.m_clock->m_now());
    return {.m_status = store_status::done};
}

void lease_witnesses::leave() {
    m_has_left = true;
    m_witness_since.reset();
}

void lease_witnesses::tick(const witness_duties& duties) {
    const steady_time now = m_ports.m_clock->m_now();
    if (m_has_left || !m_ports.m_lease->is_valid(now)) {
        return;
    }
    if (m_ports.m_lease->is_provisional()) {
        advance_introductions(duties.m_knows_fleet);
        return;
    }
    const bool reviews = duties.m_is_coordinator && now >= m_next_review;
    const bool should_change = duties.m_is_witness != m_witness_since.has_value() &&
                               m_options.m_address.m_port != 0 && now >= m_next_change;
    if (should_change || reviews) {
        if (!m_rows || reviews) {
            m_next_review = reviews ? now + review_interval : m_next_review;
            m_next_change = now + read_interval;
            read_rows();
        } else if (duties.m_is_witness) {
            store_own_row();
        } else {
            remove_own_row();
        }
    }
    if (duties.m_is_coordinator) {
        remove_ended_rows();
    }
}

void lease_witnesses::advance_introductions(bool may_read) {
    const steady_time now = m_ports.m_clock->m_now();
    if (m_introductions.are_complete()) {
        m_ports.m_lease->confirm_known(now);
        return;
    }
    const milliseconds interval = m_introductions.needs_read() ? read_interval : reread_interval;
    if (may_read && now >= m_read_sent_at + interval) {
        read_rows();
    }
    for (const listed_witness& each : m_introductions.take_due(now)) {
        introduce(each);
    }
}

void lease_witnesses::read_rows() {
    if (m_read_in_flight) {
        return;
    }
    m_read_in_flight = true;
    m_read_sent_at = m_ports.m_clock->m_now();
    m_ports.m_store->m_read_table(witnesses_table, [this](const store_answer& reply) {
        m_read_in_flight = false;
        if (reply.m_status == store_status::done && reply.m_version.m_era == m_era) {
            on_rows(reply);
        }
    });
}

void lease_witnesses::on_rows(const store_answer& reply) {
    m_rows.emplace();
    for (const store_row& row : reply.m_rows) {
        m_rows->emplace(row.m_key, row);
    }
    if (m_ports.m_lease->is_provisional()) {
        m_introductions.adopt(reply.m_version, other_witnesses());
        advance_introductions(false);
    }
}

std::vector<listed_witness> lease_witnesses::other_witnesses() const {
    std::vector<listed_witness> others;
    for (const auto& [name, row] : *m_rows) {
        const auto record = parse_witness_record(row.m_value);
        if (!record) {
            log_event(log_level::error, "member.witness_unreadable", {{"witness", name}});
        } else if (name != m_options.m_name && !has_ended(name, row)) {
            others.push_back({.m_incarnation = record->m_incarnation, .m_address = record->m_address});
        }
    }
    return others;
}

bool lease_witnesses::has_ended(const std::string& name, const store_row& row) const {
    const auto& members = m_ports.m_directory->members();
    const auto found = members.find(member_prefix + name);
    if (found == members.end()) {
        return m_ports.m_directory->version() >= row.m_version;
    }
    return m_ports.m_is_lease_over(found->second);
}

void lease_witnesses::introduce(const listed_witness& witness) {
    m_ports.m_metrics->count("introductions_sent");
    const member_introduction introduction{.m_to_incarnation = witness.m_incarnation,
                                           .m_member = to_text(m_ports.m_own_record()),
                                           .m_since = m_introductions.since()};
    m_ports.m_send_peer_request(
        witness.m_address, encode_question(introduction), introduction_timeout,
        [this, incarnation = witness.m_incarnation,
         since = m_introductions.since()](const std::optional<std::string>& bytes) {
            if (since != m_introductions.since()) {
                return;
            }
            m_introductions.record_result(incarnation,
                                          result_of(bytes ? decode_reply(*bytes) : std::nullopt));
            if (m_ports.m_lease->is_provisional() && m_introductions.are_complete()) {
                m_ports.m_lease->confirm_known(m_ports.m_clock->m_now());
            }
        });
}

store_row lease_witnesses::own_row() const {
    const auto known = m_rows->find(m_options.m_name);
    return {.m_table = witnesses_table,
            .m_key = m_options.m_name,
            .m_version = known == m_rows->end() ? store_version{} : known->second.m_version};
}

void lease_witnesses::store_own_row() {
    if (m_change_in_flight) {
        return;
    }
    m_change_in_flight = true;
    m_next_change = m_ports.m_clock->m_now() + change_retry_delay;
    store_row row = own_row();
    const store_row expected = row;
    row.m_value =
        to_text(witness_record{.m_incarnation = m_options.m_incarnation, .m_address = m_options.m_address});
    m_ports.m_store->m_change({.m_expected = {expected}, .m_writes = {row}},
                              [this, since = m_introductions.since()](const store_answer& reply) {
                                  m_change_in_flight = false;
                                  on_own_row_stored(since, reply);
                              });
}

void lease_witnesses::on_own_row_stored(const store_version& since, const store_answer& reply) {
    // The row's version, which later changes need, is read again.
    m_rows.reset();
    const bool is_of_this_lease = since == m_introductions.since();
    if (reply.m_status != store_status::done || reply.m_version.m_era != m_era || !is_of_this_lease ||
        m_has_left) {
        return;
    }
    m_witness_since = reply.m_version;
    m_ports.m_poll_members();
    log_event(log_level::info, "member.became_witness", {{"since", to_string(reply.m_version)}});
}

void lease_witnesses::remove_own_row() {
    // What is decided elsewhere from then on may count on this instance's silence.
    m_witness_since.reset();
    if (m_change_in_flight || !m_rows->contains(m_options.m_name)) {
        return;
    }
    m_next_change = m_ports.m_clock->m_now() + change_retry_delay;
    const store_row row = own_row();
    m_rows->erase(m_options.m_name);
    m_ports.m_store->m_change({.m_expected = {row}, .m_removals = {row}}, [](const store_answer& reply) {
        if (reply.m_status != store_status::done) {
            log_event(log_level::info, "member.witness_row_not_removed");
        }
    });
}

/// A row that is left behind would keep the lease of each instance that starts provisional for the time of
/// a lease.
void lease_witnesses::remove_ended_rows() {
    if (!m_rows || m_change_in_flight) {
        return;
    }
    store_change change;
    for (const auto& [name, row] : *m_rows) {
        if (name != m_options.m_name && has_ended(name, row)) {
            change.m_expected.push_back(row);
            change.m_removals.push_back(row);
        }
    }
    if (change.m_removals.empty()) {
        return;
    }
    m_change_in_flight = true;
    m_rows.reset();
    m_ports.m_store->m_change(change, [this](const store_answer& reply) {
        m_change_in_flight = false;
        if (reply.m_status != store_status::done) {
            log_event(log_level::info, "member.witness_rows_not_removed");
        }
    });
}

}
