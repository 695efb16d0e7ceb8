/// \file fleet_membership.hpp
/// What the instances tell each other through the metadata store: that they
/// live, which group records they have taken in, which primaries they miss,
/// and who is steward. Nothing here is needed to serve while the store is away.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/decisions/group_record.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace anvilmount::gateway {

/// One instance's row.
struct member_record {
    std::string m_name{};
    std::string m_incarnation{}; ///< New at each start of its process.
    endpoint m_probe_address{};  ///< A connection that is refused there proves that the process has ended.
    endpoint m_forwarding_address{};  ///< Where it takes sessions that another instance hands on.
    endpoint m_store_relay_address{}; ///< Where it asks the store for others; port 0: it does not.
    data_centre m_data_centre{};
    bool m_leaving{false};                                       ///< Takes no more sessions.
    std::map<group_name, std::uint64_t> m_acknowledged_epochs{}; ///< Of the records that it has taken in.
    std::set<group_name> m_unreachable_primaries{}; ///< Groups whose primary does not answer it.

    auto operator<=>(const member_record&) const = default;
};

/// Who orders promotions. The token rises with each change of holder.
struct coordinator_record {
    std::string m_holder{};
    std::string m_incarnation{};
    std::uint64_t m_token{0};
};

[[nodiscard]] std::string to_text(const member_record& record);
[[nodiscard]] std::string to_text(const coordinator_record& record);
[[nodiscard]] std::string to_text(const group_record& record);

/// These return nothing for a text that is not such a record.
[[nodiscard]] std::optional<member_record> parse_member_record(const std::string& text);
[[nodiscard]] std::optional<coordinator_record> parse_coordinator_record(const std::string& text);
[[nodiscard]] std::optional<group_record> parse_group_record(const std::string& text);

}
