/// \file store_access.cpp
/// Chooses a path for each request, sends the request and records whether the path answered.
#include "anvilmount/gateway/store_access.hpp"

#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <utility>

namespace anvilmount::gateway {
namespace {

/// Bounds how long a relayed watch is held open: when the relay freezes, this instance changes to
/// another path well within the seconds that a configuration change may take. Requests between
/// instances cost no store call.
constexpr milliseconds max_relayed_watch_timeout{1500};

/// Several times the time of two transfers between data centres and one answer of the store.
constexpr milliseconds relayed_request_timeout{600};

/// A slow store makes changes one after another, about six in this time. A retry over another path
/// would only lengthen the store's queue.
constexpr milliseconds relayed_change_timeout{1600};

bool is_answer(store_status status) {
    return status != store_status::refused && status != store_status::unknown;
}

milliseconds timeout_for(const store_question& request) {
    if (const auto* follow = std::get_if<follow_question>(&request)) {
        return follow->m_timeout + relayed_request_timeout;
    }
    const auto* change = std::get_if<store_change>(&request);
    return change == nullptr ? relayed_request_timeout : change->m_max_batch_delay + relayed_change_timeout;
}

}

store_access::store_access(const clock_port& clock, store_era& era, peer_request send_peer_request,
                           metrics& counters)
    : m_clock(clock), m_era(era), m_direct(era.port()), m_send_peer_request(std::move(send_peer_request)),
      m_metrics(counters),
      m_port{
          .m_read_table =
              [this](const std::string& table, const store_callback& done) {
                  this->send(read_question{.m_table = table}, table, done);
              },
          .m_read_changes =
              [this](const std::string& table, const store_version& version, const store_callback& done) {
                  this->send(
                      read_question{.m_table = table, .m_after_version = version, .m_shares_copy = true},
                      table, done);
              },
          .m_change = [this](const store_change& what,
                             const store_callback& done) { this->send(what, std::string{}, done); },
          .m_watch =
              [this](const std::string& table, const store_version& version, milliseconds wait,
                     const store_callback& done) {
                  const follow_question request{
                      .m_table = table, .m_after_version = version, .m_timeout = wait};
                  if (m_holds_watches) {
                      m_held_watches.push_back({.m_request = request, .m_done = done});
                  } else {
                      this->send(request, table, done);
                  }
              }} {}

store_path store_access::choose() const {
    const steady_time now = m_clock.m_now();
    const bool use_direct = now < m_prefer_direct_until && !m_choice.is_direct_failing(now);
    return use_direct ? store_path{} : m_choice.choose(now);
}

void store_access::release_watches() {
    m_holds_watches = false;
    for (const held_watch& each : std::exchange(m_held_watches, {})) {
        send(each.m_request, each.m_request.m_table, each.m_done);
    }
}

void store_access::send(const store_question& request, const std::string& table,
                        const store_callback& done) {
    const store_path path = choose();
    log_path(table, path);
    const store_callback on_reply = [this, path, table, done](const store_answer& reply) {
        if (is_answer(reply.m_status)) {
            m_choice.record_success(path);
        } else {
            m_choice.record_failure(path, m_clock.m_now());
        }
        if (path.m_relay || !is_answer(reply.m_status)) {
            m_directly_read_tables.erase(table);
        } else {
            m_directly_read_tables.insert(table);
        }
        done(reply);
    };
    if (path.m_relay) {
        send_relayed(*path.m_relay, request, on_reply);
    } else {
        send_direct(request, on_reply);
    }
}

void store_access::log_path(const std::string& table, const store_path& path) {
    const auto logged = m_logged_paths.find(table);
    if (table.empty() || (logged != m_logged_paths.end() && logged->second == path)) {
        return;
    }
    m_logged_paths[table] = path;
    log_event(log_level::info, "store.path",
              {{"table", table}, {"relay", path.m_relay ? to_string(*path.m_relay) : "none"}});
}

void store_access::send_direct(const store_question& request, const store_callback& done) {
    if (const auto* read = std::get_if<read_question>(&request)) {
        if (read->m_shares_copy) {
            m_read_changes(*read, done);
        } else {
            m_direct.m_read_table(read->m_table, done);
        }
    } else if (const auto* follow = std::get_if<follow_question>(&request)) {
        m_direct.m_watch(follow->m_table, follow->m_after_version, follow->m_timeout, done);
    } else if (const auto& change = std::get<store_change>(request);
               change.m_max_batch_delay.count() > 0 || change.m_renewal) {
        m_batch_change(change, done);
    } else {
        m_direct.m_change(change, done);
    }
}

void store_access::send_relayed(const endpoint& relay, const store_question& request,
                                const store_callback& done) {
    store_question relayed = request;
    if (auto* follow = std::get_if<follow_question>(&relayed)) {
        follow->m_timeout = std::min(follow->m_timeout, max_relayed_watch_timeout);
    }
    m_metrics.count("store_questions_relayed");
    m_send_peer_request(relay, encode_question(relayed), timeout_for(relayed),
                        [this, done](const std::optional<std::string>& bytes) {
                            if (!bytes) {
                                m_metrics.count("store_questions_unanswered");
                            }
                            auto reply = bytes ? decode_reply(*bytes) : std::nullopt;
                            if (reply) {
                                m_era.complete(*reply);
                            }
                            const bool is_reply = reply && is_answer(reply->m_status);
                            if (is_reply && !m_era.observe(reply->m_version.m_era)) {
                                // The relay has not noticed yet that the store came back from an older
                                // copy, or is of a version that names no era.
                                reply = std::nullopt;
                            }
                            done(reply.value_or(store_answer{.m_status = store_status::unknown}));
                        });
}

}
