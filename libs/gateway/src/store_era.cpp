/// \file store_era.cpp
/// Compares the eras of requests and answers.
#include "anvilmount/gateway/store_era.hpp"

#include "anvilmount/observe/event_log.hpp"

#include <algorithm>

namespace anvilmount::gateway {

namespace {

/// Of a store that has never come back from an older copy.
constexpr std::uint64_t first_era = 1;

/// Returns whether each condition names a version of `era`, or the absence of the row.
bool has_conditions_of(const store_change& change, std::uint64_t era) {
    return std::all_of(change.m_expected.begin(), change.m_expected.end(), [&](const store_row& row) {
        return !row.m_version.is_set() || row.m_version.m_era == era;
    });
}

}

store_era::store_era(const clock_port& clock, const store_port& direct, metrics& counters)
    : m_clock(clock), m_direct(direct), m_metrics(counters),
      m_port{.m_read_table =
                 [this](const std::string& table, const store_callback& done) {
                     m_direct.m_read_table(
                         table, [this, done](const store_answer& reply) { check_read({}, reply, done); });
                 },
             .m_read_changes =
                 [this](const std::string& table, const store_version& after, const store_callback& done) {
                     m_direct.m_read_changes(table, after, [this, after, done](const store_answer& reply) {
                         check_read(after, reply, done);
                     });
                 },
             .m_change = [this](const store_change& requested,
                                const store_callback& done) { change(requested, done); },
             .m_watch =
                 [this](const std::string& table, const store_version& after, milliseconds wait,
                        const store_callback& done) {
                     m_direct.m_watch(table, after, wait, [this, after, done](const store_answer& reply) {
                         check_read(after, reply, done);
                     });
                 }} {}

void store_era::complete(store_answer& relayed) const {
    if (m_current == first_era && relayed.m_version.m_era == 0) {
        set_era(relayed, first_era);
    }
}

bool store_era::observe(std::uint64_t era) {
    if (era <= m_current) {
        return era == m_current;
    }
    log_event(log_level::info, "store.era",
              {{"before", std::to_string(m_current)}, {"era", std::to_string(era)}});
    if (std::exchange(m_current, era) > 0) {
        m_metrics.count("store_restores_seen");
    }
    if (m_on_new_era) {
        m_on_new_era(era);
    }
    return true;
}

void store_era::check_read(const store_version& after, const store_answer& reply,
                           const store_callback& done) {
    store_answer checked = reply;
    if (reply.m_status == store_status::done) {
        if (!observe(reply.m_version.m_era)) {
            checked = {.m_status = store_status::unknown};
        } else if (after.is_set() && after.m_era != m_current) {
            checked = {.m_status = store_status::history_gone, .m_version = reply.m_version};
        }
    }
    done(checked);
}

void store_era::change(const store_change& requested, const store_callback& done) {
    if (!has_conditions_of(requested, m_current)) {
        m_clock.m_after(milliseconds{0}, [done, era = m_current] {
            done({.m_status = store_status::history_gone, .m_version = {.m_era = era}});
        });
        return;
    }
    m_direct.m_change(requested, [this, requested, done](const store_answer& reply) {
        const bool is_answer =
            reply.m_status == store_status::done || reply.m_status == store_status::conflict;
        const bool is_current = !is_answer || observe(reply.m_version.m_era);
        // Conditions of an earlier era may have held by accident, and what was changed in an earlier
        // era is lost.
        const bool is_certain = is_current && (reply.m_status != store_status::done ||
                                               has_conditions_of(requested, reply.m_version.m_era));
        done(is_certain ? reply : store_answer{.m_status = store_status::unknown});
    });
}

}
