/// \file ports.hpp
/// Interfaces through which the gateway reaches the outside: time, connections
/// to upstreams, the metadata store, other instances and the promotion call.
/// The platform adapters implement them with real I/O; tests implement them with
/// scripted fakes that run in virtual time.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/store_version.hpp"
#include "anvilmount/gateway/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilmount::gateway {

/// Monotonic time that keeps counting while the machine is suspended, and a timer for deferred work.
struct clock_port {
    std::function<steady_time()> m_now{};
    std::function<void(milliseconds delay, std::function<void()> work)> m_after{};
};

/// One statement that the gateway sends to an upstream.
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
    std::string m_id{};       ///< The caller's statement id; empty for statements of the gateway itself.
    std::string m_text{};     ///< Statement text, for kind::forwarded.
    std::string m_name{};     ///< Session value to set, or prepared statement to create or execute.
    std::string m_argument{}; ///< Value to set, template to prepare, or arguments to execute with.
    bool m_writes{false};     ///< For kind::prepare: whether the prepared statement writes.
    std::uint64_t m_term{0};  ///< For kind::demote: a primary of a lower term steps down.
    /// The upstream refuses the statement until its log holds this position.
    std::optional<log_position> m_min_position{};
};

/// Why a connection to an upstream could not be established.
enum class connect_failure {
    refused,             ///< No process listens at the address.
    timed_out,           ///< The connect was not answered in time.
    wrong_upstream,      ///< A different upstream answers at the address.
    too_many_connections ///< The upstream has reached its connection limit.
};

/// Callbacks of a connection to an upstream. None of them is called after upstream_channel::m_close.
struct upstream_channel_events {
    std::function<void()> m_on_ready{};
    std::function<void(answer)> m_on_answer{}; ///< Answers arrive in the order of the statements.
    std::function<void(connect_failure)> m_on_connect_failed{};
    std::function<void()> m_on_lost{};
};

/// One connection to an upstream.
struct upstream_channel {
    std::function<void(const std::vector<outgoing_statement>&)> m_send{}; ///< Sends all in one write.
    /// Whether the end of the connection or bytes have arrived that no event has reported yet. True for a
    /// connection without open statements: what is sent now is not read, or is taken to be answered by
    /// them.
    std::function<bool()> m_has_unreported_input{};
    std::function<void()> m_close{};
};

/// Opens a connection to the upstream at `address` for the statements of client account `account`, which
/// is empty without one. The connect fails with connect_failure::wrong_upstream unless that upstream is
/// `expected`.
using upstream_connector = std::function<upstream_channel(
    const endpoint& address, const group_name& group, const upstream_id& expected,
    const std::string& account, upstream_channel_events)>;

/// Parses the answer to a statement of kind::status; unset if the answer has another format.
using status_reader = std::function<std::optional<upstream_status>(const answer&)>;

/// One row of the metadata store.
struct store_row {
    std::string m_table{};
    std::string m_key{};
    std::string m_value{};
    store_version m_version{}; ///< Unset if the row does not exist.
    bool m_removed{false};     ///< Set in answers to a watch if the row was deleted.
};

/// What became of a request to the store.
enum class store_status {
    done,
    conflict, ///< An expected version did not match; nothing was changed.
    refused,  ///< The store rejected the request; nothing was changed.
    unknown,  ///< No answer: the change may have been applied, or may still be applied.
    /// The store has no history from the version in the request on: it is too old, or was given out
    /// before the store came back from an older copy. Nothing was changed; read the whole table again.
    history_gone,
};

/// The store's answer to a read, a change or a watch.
struct store_answer {
    store_status m_status{store_status::refused};
    /// Rows read or changed. After a conflict, the present rows that m_expected named.
    std::vector<store_row> m_rows{};
    store_version m_version{}; ///< Newest version in the store when it answered.
    milliseconds m_age{0};     ///< Time since the store was read; above 0 only for relayed answers.
    /// m_rows holds only the rows that changed after the version asked for, removed ones included.
    /// Otherwise m_rows is the whole table.
    bool m_is_delta{false};
    bool m_renewed{false}; ///< The change included the requested lease_renewal.
};

/// Makes `era` that of all versions in `answer`.
inline void set_era(store_answer& answer, std::uint64_t era) {
    answer.m_version.m_era = era;
    for (store_row& row : answer.m_rows) {
        row.m_version.m_era = era;
    }
}

/// A heartbeat of an instance whose member record is stored already. A relay publishes the counts of
/// all the instances that it serves in one row.
struct lease_renewal {
    std::string m_incarnation{};
    std::uint64_t m_count{0}; ///< From 1; rises with each heartbeat of the incarnation.
};

/// Rows that one change may write or remove under a condition each. The store accepts at most 100
/// entries in one change, conditions included.
constexpr std::size_t max_conditional_rows = 40;

/// An atomic change: it is applied as a whole, or not at all if an expected version differs.
struct store_change {
    std::vector<store_row> m_expected{}; ///< Preconditions; only table, key and version are compared.
    std::vector<store_row> m_writes{};
    std::vector<store_row> m_removals{};
    std::optional<lease_renewal> m_renewal{};
    /// How long the change may wait to be batched with changes of other instances.
    milliseconds m_max_batch_delay{0};
};

using store_callback = std::function<void(const store_answer&)>;

/// The metadata store: snapshots of tables, atomic changes and watches.
struct store_port {
    std::function<void(const std::string& table, store_callback)> m_read_table{};
    /// Answers at once with the rows of `table` that changed after `version`. The answer is either a
    /// delta or, when `version` is unset or the store's history does not reach back to it, the whole table
    /// or history_gone.
    std::function<void(const std::string& table, const store_version& version, store_callback)>
        m_read_changes{};
    std::function<void(const store_change&, store_callback)> m_change{};
    /// Answers once a row of `table` has changed after `version`, or with no rows after `wait`.
    std::function<void(const std::string& table, const store_version& version, milliseconds wait,
                       store_callback)>
        m_watch{};
};

/// What became of a promotion order.
enum class promotion_result {
    accepted,
    not_running, ///< The candidate is not running and cannot become primary.
    failed,      ///< Refused, or not answered: the promotion may still take effect.
};

/// Sends `request` to the instance at `address` and passes on its reply, or nothing
/// if none arrives within `timeout`.
using peer_request =
    std::function<void(const endpoint& address, const std::string& request, milliseconds timeout,
                       std::function<void(std::optional<std::string>)>)>;

/// A row of the store that another component watches. Heartbeats are written on the
/// condition that the version known here is the newest.
struct followed_row {
    /// The row as known to this instance; only its table, key and version are compared.
    std::function<std::optional<store_row>()> m_known{[] { return std::nullopt; }};
    std::function<void()> m_refresh{[] {}}; ///< Called when a heartbeat shows that a newer row exists.
    /// Called when the store answers again after a failure: requests that were sent
    /// before, for this or other tables, may stay unanswered and have to be repeated.
    std::function<void()> m_on_store_recovered{[] {}};
};

/// Orders `candidate` to become primary of `group`. `holder` is the coordinator that
/// owns `fencing_token`.
using promotion_port =
    std::function<void(const group_name& group, const upstream_id& candidate, const std::string& holder,
                       std::uint64_t fencing_token, std::function<void(promotion_result)>)>;

}
