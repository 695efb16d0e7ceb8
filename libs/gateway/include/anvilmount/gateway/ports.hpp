/// \file ports.hpp
/// The narrow seams between the gateway and the outside: time, connections to
/// upstreams, the metadata store and the promotion call. Adapters fill them
/// with real I/O, tests with scripted fakes in virtual time.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/time.hpp"
#include "anvilmount/gateway/messages.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilmount::gateway {

/// Steady time that also counts while the machine is suspended, and deferred work.
struct clock_port {
    std::function<steady_time()> m_now{};
    std::function<void(milliseconds delay, std::function<void()> work)> m_after{};
};

/// One statement on its way to an upstream.
struct outgoing_statement {
    enum class kind {
        forwarded,
        begin,
        begin_read_only,
        rollback,
        set_value,
        reset,
        prepare,
        status,
        demote
    };
    kind m_kind{kind::forwarded};
    std::string m_id{};   ///< Empty for statements of the gateway itself.
    std::string m_text{}; ///< For forwarded.
    std::string m_name{};
    std::string m_argument{};
    bool m_writes{false};    ///< For prepare.
    std::uint64_t m_term{0}; ///< For demote.
    std::optional<log_position>
        m_min_position{}; ///< Refused unless the upstream's log holds this position.
};

/// Why an upstream connection never came about.
enum class connect_failure {
    refused,             ///< Nothing listens there.
    timed_out,           ///< No answer in time.
    wrong_upstream,      ///< Another upstream answers at this address.
    too_many_connections ///< The upstream's limit is reached.
};

/// What a connection to an upstream reports. None is called after m_close.
struct upstream_channel_events {
    std::function<void()> m_on_ready{};
    std::function<void(answer)> m_on_answer{}; ///< In the order of the statements.
    std::function<void(connect_failure)> m_on_connect_failed{};
    std::function<void()> m_on_lost{};
};

/// One connection to an upstream.
struct upstream_channel {
    std::function<void(const std::vector<outgoing_statement>&)> m_send{}; ///< Written as one piece.
    std::function<void()> m_close{};
};

/// Opens a connection to an upstream that must be the one named.
using upstream_connector =
    std::function<upstream_channel(const endpoint& address, const group_name& group,
                                   const upstream_id& expected, upstream_channel_events)>;

/// Reads the answer to outgoing_statement::kind::status; unset when it is not one.
using status_reader = std::function<std::optional<upstream_status>(const answer&)>;

/// One row of the metadata store.
struct store_row {
    std::string m_table{};
    std::string m_key{};
    std::string m_value{};
    std::uint64_t m_version{0}; ///< 0: the row does not exist.
    bool m_removed{false};
};

enum class store_status {
    done,
    conflict,     ///< A condition did not hold; nothing was changed.
    refused,      ///< Nothing was done.
    unknown,      ///< No answer: a change may have been made or may still be made.
    history_gone, ///< The feed cannot go on from there; read the table again.
};

struct store_answer {
    store_status m_status{store_status::refused};
    std::vector<store_row> m_rows{};
    std::uint64_t m_version{0}; ///< Newest version of the store when it answered.
    milliseconds m_age{0}; ///< Since the store was asked; above 0 only where another instance asked it.
};

/// A change that is made as a whole or not at all.
struct store_change {
    std::vector<store_row> m_expected{}; ///< Only table, key and version count.
    std::vector<store_row> m_writes{};
    std::vector<store_row> m_removals{};
    milliseconds m_max_batch_delay{0}; ///< May be made together with changes of other instances until then.
};

using store_callback = std::function<void(const store_answer&)>;

struct store_port {
    std::function<void(const std::string& table, store_callback)> m_read_table{};
    std::function<void(const store_change&, store_callback)> m_change{};
    /// Answers once something in `table` has changed after `version`, or empty after `wait`.
    std::function<void(const std::string& table, std::uint64_t version, milliseconds wait, store_callback)>
        m_watch{};
};

enum class promotion_result {
    accepted,
    not_running, ///< The upstream cannot take over.
    failed,      ///< Refused, or no answer: the order may still take effect.
};

/// Puts a question to the instance at `where`; nothing when no answer came in time.
using peer_request =
    std::function<void(const endpoint& address, const std::string& request, milliseconds timeout,
                       std::function<void(std::optional<std::string>)>)>;

/// A row that is followed elsewhere and that heartbeats check.
struct followed_row {
    /// The row as known here; only its table, key and version count.
    std::function<std::optional<store_row>()> m_known{[] { return std::nullopt; }};
    std::function<void()> m_refresh{[] {}}; ///< It is not the newest.
    /// The store answers again: what was asked before may stay unanswered, about this and other tables.
    std::function<void()> m_on_store_recovered{[] {}};
};

/// Orders `candidate` to lead `group`.
using promotion_port =
    std::function<void(const group_name& group, const upstream_id& candidate, const std::string& holder,
                       std::uint64_t fencing_token, std::function<void(promotion_result)>)>;

}
