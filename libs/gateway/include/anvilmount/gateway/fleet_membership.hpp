/// \file fleet_membership.hpp
/// The records that instances exchange through the metadata store, and their JSON form: one row per
/// instance (its addresses, the epochs it has acknowledged and the primaries it cannot reach), the
/// active coordinator, the record of each group, and the heartbeats that a relay has published for
/// others. No record is needed to serve requests while the store is unavailable.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/decisions/account_homes.hpp"
#include "anvilmount/decisions/acknowledged_range.hpp"
#include "anvilmount/decisions/group_record.hpp"
#include "anvilmount/decisions/lease_renewals.hpp"
#include "anvilmount/decisions/store_version.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilmount::gateway {

inline const std::string members_table = "anvilmount_members";
inline const std::string member_prefix = "member/";
inline const std::string coordinator_key = "steward";

/// One row a witness, see lease_witnesses.hpp; the keys are the instances' names.
inline const std::string witnesses_table = "anvilmount_witnesses";

/// Row of the records table with the set of account homes; no group has this name.
inline const std::string account_homes_key = "account_homes";

/// Written with each change of a group's record or of the account homes, so that a heartbeat can be made on
/// the condition that the records known here are the newest.
inline const std::string records_head_key = "records";

/// Newest era of the store in which the table lists every instance that may hold a lease from before.
inline const std::string settled_era_key = "settled_era";

/// Prefix of the rows in which relays publish renewals; each process that relays has one row.
inline const std::string renewals_prefix = "renewals/";

/// The row of one instance in the members table. An instance acknowledges the epoch of a group's
/// record once it uses no primary that the record replaces.
struct member_record {
    std::string m_name{};
    std::string m_incarnation{}; ///< New each time the instance's process starts.
    /// When that process registered; number 0: with the change that wrote this row. Unset in rows of the
    /// version before. See process_order.hpp.
    std::optional<store_version> m_registration{};
    /// Probed when the process is late to renew the coordinator's role.
    endpoint m_probe_address{};
    /// Where the instance accepts sessions that other instances forward.
    endpoint m_forwarding_address{};
    /// Where the instance relays store questions of other instances; port 0: nowhere.
    endpoint m_store_relay_address{};
    data_centre m_data_centre{};
    bool m_leaving{false}; ///< The instance is draining: it accepts no new sessions.
    /// Processor share, in thousandths of a core; 0: unknown.
    std::uint32_t m_processor_millis{0};
    /// Version of the records table up to which all records are acknowledged; unset in rows of
    /// versions that report m_acknowledged_epochs only.
    std::optional<store_version> m_acknowledged_version{};
    /// Per group, the epoch of the newest acknowledged record, for instances of versions that do not
    /// know m_acknowledged_version.
    std::map<group_name, std::uint64_t> m_acknowledged_epochs{};
    /// Per group whose record is switching and acknowledged: the newest commit of the old primary that this
    /// instance has acknowledged to a caller. Rows of the version before name none.
    std::map<group_name, acknowledged_range> m_acknowledged_commits{};
    /// Groups whose primary does not answer this instance.
    std::set<group_name> m_unreachable_primaries{};

    auto operator<=>(const member_record&) const = default;
};

/// The row of a witness.
struct witness_record {
    std::string m_incarnation{};
    endpoint m_address{}; ///< Where it takes introductions.
};

/// A promotion that was ordered, or is about to be, and may still take effect.
struct pending_promotion {
    group_name m_group{};
    upstream_id m_target{};
};

/// The instance whose coordinator is active: it orders promotions. Stored data, logs and the state
/// dump call it "steward".
struct coordinator_record {
    std::string m_holder{};
    std::string m_incarnation{};
    std::uint64_t m_token{0}; ///< Fencing token; rises with each change of holder.
    /// Written before an order is sent, so that whoever takes over knows of it.
    std::vector<pending_promotion> m_pending{};
};

/// Returns the JSON text that the store keeps.
[[nodiscard]] std::string to_text(const member_record& record);
[[nodiscard]] std::string to_text(const witness_record& record);
[[nodiscard]] std::string to_text(const coordinator_record& record);
[[nodiscard]] std::string to_text(const group_record& record);
[[nodiscard]] std::string to_text(const renewal_counts& counts);
[[nodiscard]] std::string to_text(const account_home_set& set);

/// Returns nothing when the text is not a record of this type.
[[nodiscard]] std::optional<member_record> parse_member_record(const std::string& text);
[[nodiscard]] std::optional<witness_record> parse_witness_record(const std::string& text);
[[nodiscard]] std::optional<coordinator_record> parse_coordinator_record(const std::string& text);
[[nodiscard]] std::optional<group_record> parse_group_record(const std::string& text);
[[nodiscard]] std::optional<std::uint64_t> parse_settled_era(const std::string& text);
[[nodiscard]] std::optional<renewal_counts> parse_renewal_counts(const std::string& text);
[[nodiscard]] std::optional<account_home_set> parse_account_home_set(const std::string& text);

}
