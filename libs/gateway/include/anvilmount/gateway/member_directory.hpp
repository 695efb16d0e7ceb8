/// \file member_directory.hpp
/// What this instance knows of the members table: the records of all instances and when each last
/// gave a sign of life, the row of the active coordinator, and the version of the newest record
/// change. The directory takes in whole tables and deltas, over any path, and ignores answers that
/// are older than what it knows.
///
/// When the store comes back from an older copy, rows are missing and rows of processes that have
/// ended are back. Members known from before are kept until they had the time to register again, and
/// a process that was seen to leave or to be replaced is never taken for alive again (process_order.hpp).
/// Instances that have introduced themselves since the table was last read count among these members.
///
/// A line of the log says which process is counted from when on, until when, by which row and why.
#pragma once

#include "anvilmount/decisions/lease_renewals.hpp"
#include "anvilmount/gateway/fleet_membership.hpp"
#include "anvilmount/gateway/ports.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilmount::gateway {

/// An instance's record, and when this instance last saw a heartbeat of it.
struct known_member {
    member_record m_record{};
    /// Of the row under its key, which is that of an ended process while the store does not list this one;
    /// unset when there is none.
    store_version m_version{};
    store_version m_registered_at{};
    /// Later than the heartbeat itself by up to a poll interval, never earlier.
    steady_time m_heartbeat_seen_at{};
    /// A connection to it was refused since its last heartbeat. Its process may have ended, or only be
    /// unreachable from here: this proves nothing about its lease.
    bool m_refused_probe{false};
    steady_time m_probed_at{};
};

class member_directory {
public:
    explicit member_directory(const std::string& own_name) : m_own_key(member_prefix + own_name) {}

    /// Takes in an answer of the store that was read at `as_of`. Returns whether it was applied; one
    /// older than the newest applied is not.
    bool apply(const store_answer& reply, steady_time as_of, steady_time now);

    /// Another instance has said that it obtained a lease; the store listed it already. `record` is its
    /// row, with its registration.
    void introduce(const member_record& record, steady_time now);

    /// All instances, this one included once it is registered. Key: row key.
    [[nodiscard]] std::map<std::string, known_member>& members() { return m_members; }
    [[nodiscard]] const std::map<std::string, known_member>& members() const { return m_members; }

    /// When the newest applied answer was read; the epoch of the clock before the first.
    [[nodiscard]] steady_time read_at() const { return m_read_at; }
    [[nodiscard]] bool is_loaded() const { return m_loaded; }
    /// Version of the store as known here; unset before the first answer, and of an empty store.
    [[nodiscard]] const store_version& version() const { return m_version; }
    /// Whether the first answer listed this instance: its process was restarted, and the instances
    /// that were registered before are known.
    [[nodiscard]] bool was_registered() const { return m_was_registered; }

    /// The active coordinator's row; nothing while there is none.
    [[nodiscard]] const std::optional<store_row>& coordinator_row() const { return m_coordinator_row; }
    /// Version of the newest change of any group's record, as far as the members table tells.
    [[nodiscard]] const store_version& records_head() const { return m_records_head; }

    /// Newest era of which the table lists every instance that may hold a lease from before; 0: none.
    [[nodiscard]] std::uint64_t settled_era() const { return m_settled_era; }
    [[nodiscard]] const store_version& settled_era_version() const { return m_settled_era_version; }

    /// Returns the members that the store does not list at present. m_version is that of the row of an
    /// earlier process that stands in their place, if any.
    [[nodiscard]] std::vector<known_member> unregistered_members() const;

    /// The row under this instance's key as last read, whichever process it is of.
    [[nodiscard]] const std::optional<store_row>& own_row() const { return m_own_row; }

    /// Returns the rows of published renewals that have not changed for `duration`: the processes
    /// that wrote them no longer relay.
    [[nodiscard]] std::vector<store_row> stale_renewal_rows(milliseconds duration, steady_time now) const;

private:
    struct renewal_row {
        store_version m_version{};
        steady_time m_changed_at{};
    };

    struct introduced_member {
        member_record m_record{};
        steady_time m_received_at{};
    };

    void begin_era(steady_time now);
    void carry_over_introduced(steady_time now);
    void remove_unlisted(const store_answer& reply);
    void remove_unregistered();
    void remove(const std::string& key, const store_version& version);
    void apply_row(const store_row& row, steady_time now);
    void apply_member(const store_row& row, steady_time now);
    void apply_renewals(const store_row& row, steady_time now);
    void log_change(const std::string& event, const std::string& key, const known_member& member,
                    const std::string& reason);

    std::string m_own_key;
    std::map<std::string, known_member> m_members;
    std::map<std::string, renewal_row> m_renewal_rows; ///< Key: row key.
    observed_renewals m_renewals;
    std::optional<store_row> m_coordinator_row;
    store_version m_records_head;
    std::uint64_t m_settled_era{0};
    store_version m_settled_era_version; ///< Of its row.
    store_version m_version;
    std::optional<store_row> m_own_row;
    /// Members that the store does not list at present, and until when their leases may hold. Key: row key.
    std::map<std::string, steady_time> m_carried_over;
    /// Instances that introduced themselves since the table was read. Key: row key.
    std::map<std::string, introduced_member> m_introduced;
    /// When the last process that removed its row had registered. Key: row key.
    std::map<std::string, store_version> m_left;
    int m_logged_changes{0}; ///< Of the answer that is being applied.
    steady_time m_read_at{};
    bool m_loaded{false};
    bool m_was_registered{false};
};

}
