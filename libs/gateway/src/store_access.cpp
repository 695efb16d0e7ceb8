/// \file store_access.cpp
#include "anvilmount/gateway/store_access.hpp"

#include <algorithm>
#include <utility>

namespace anvilmount::gateway {
namespace {

/// A feed at another instance answers after this at the latest: when that
/// instance freezes, this one is on another way well within the seconds that a
/// configuration may take. Questions between instances cost no call of the store.
constexpr milliseconds longest_relayed_wait{1500};

/// Two passages between data centres and an answer of the store, several times over.
constexpr milliseconds relay_patience{600};

/// A slow store makes changes one after another, half a dozen in this time. Asking
/// another way meanwhile would only lengthen its queue.
constexpr milliseconds relayed_change_patience{1600};

bool is_answer(store_status status) {
    return status != store_status::refused && status != store_status::unknown;
}

milliseconds patience_for(const store_request& question) {
    if (const auto* follow = std::get_if<follow_request>(&question)) {
        return follow->m_timeout + relay_patience;
    }
    const auto* change = std::get_if<store_change>(&question);
    return change == nullptr ? relay_patience : change->m_may_wait + relayed_change_patience;
}

}

store_access::store_access(const clock_port& clock, const store_port& own, peer_exchange ask,
                           metrics& counters)
    : m_clock(clock), m_own(own), m_ask(std::move(ask)),
      m_metrics(counters), m_port{.m_read_table =
                                      [this](const std::string& table, const store_callback& done) {
                                          this->ask(read_request{table}, table, done);
                                      },
                                  .m_change =
                                      [this](const store_change& what, const store_callback& done) {
                                          this->ask(what, std::string{}, done);
                                      },
                                  .m_feed =
                                      [this](const std::string& table, std::uint64_t version,
                                             milliseconds wait, const store_callback& done) {
                                          this->ask(follow_request{.m_table = table,
                                                                   .m_after_version = version,
                                                                   .m_timeout = wait},
                                                    table, done);
                                      }} {}

store_path store_access::choose() const {
    const steady_time now = m_clock.m_now();
    const bool own = now < m_prefer_own_until && !m_choice.own_fails(now);
    return own ? store_path{} : m_choice.choose(now);
}

void store_access::ask(const store_request& question, const std::string& table,
                       const store_callback& done) {
    const store_path path = choose();
    const store_callback noted = [this, path, table, done](const store_answer& reply) {
        if (is_answer(reply.m_status)) {
            m_choice.note_answered(path);
        } else {
            m_choice.note_failed(path, m_clock.m_now());
        }
        if (path.m_relay || !is_answer(reply.m_status)) {
            m_asked_itself.erase(table);
        } else {
            m_asked_itself.insert(table);
        }
        done(reply);
    };
    if (path.m_relay) {
        ask_relay(*path.m_relay, question, noted);
    } else {
        ask_own(question, noted);
    }
}

void store_access::ask_own(const store_request& question, const store_callback& done) {
    if (const auto* read = std::get_if<read_request>(&question)) {
        m_own.m_read_table(read->m_table, done);
    } else if (const auto* follow = std::get_if<follow_request>(&question)) {
        m_own.m_feed(follow->m_table, follow->m_after_version, follow->m_timeout, done);
    } else if (const auto& change = std::get<store_change>(question); change.m_may_wait.count() > 0) {
        m_change_with_others(change, done);
    } else {
        m_own.m_change(change, done);
    }
}

void store_access::ask_relay(const endpoint& relay, const store_request& question,
                             const store_callback& done) {
    store_request sent = question;
    if (auto* follow = std::get_if<follow_request>(&sent)) {
        follow->m_timeout = std::min(follow->m_timeout, longest_relayed_wait);
    }
    m_metrics.count("store_questions_relayed");
    m_ask(relay, encode_request(sent), patience_for(sent), [done](const std::optional<std::string>& bytes) {
        const auto reply = bytes ? decode_reply(*bytes) : std::nullopt;
        done(reply.value_or(store_answer{.m_status = store_status::unknown}));
    });
}

}
