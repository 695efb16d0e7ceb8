/// \file era_recovery.hpp
/// One instance's part in recovering what the metadata store lost when it came back from an older copy:
/// the groups' newest records and the rows of instances that registered in the lost seconds. Whoever
/// knows them writes them back, the live instances one after the other until the store has them.
#pragma once

#include "anvilmount/gateway/group_service.hpp"
#include "anvilmount/gateway/member_directory.hpp"
#include "anvilmount/gateway/ports.hpp"
#include "anvilmount/gateway/table_follower.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace anvilmount::gateway {

using group_map = std::map<group_name, std::unique_ptr<group_service>>;

/// Table of the groups' records; its rows' keys are the groups' names.
inline const std::string records_table = "anvilmount_groups";

/// What the recovery reads and writes; all must outlive it.
struct recovery_ports {
    const clock_port* m_clock{nullptr};
    const store_port* m_store{nullptr};
    const member_directory* m_directory{nullptr};
    const table_follower* m_records{nullptr};
    const group_map* m_groups{nullptr};
};

class era_recovery {
public:
    /// After `max_lease` no lease of an earlier era is valid any more, and after `max_provisional_lease`
    /// none that the witnesses do not know of.
    era_recovery(const recovery_ports& ports, milliseconds max_lease, milliseconds max_provisional_lease)
        : m_ports(ports), m_max_lease(max_lease), m_max_provisional_lease(max_provisional_lease) {}

    /// A later era was seen. `was_witness`: this instance knows every instance that may hold a lease of
    /// before, but for provisional ones; see introductions.hpp.
    void begin(std::uint64_t era, bool was_witness);

    /// Era of the store; 0 while it has named none.
    [[nodiscard]] std::uint64_t era() const { return m_era; }
    [[nodiscard]] steady_time era_seen_at() const { return m_era_seen_at; }
    /// Whether the store has never come back from an older copy, as far as known.
    [[nodiscard]] bool is_first_era() const { return m_era <= 1; }

    /// Whether the copies of the members and records tables are of the present era.
    [[nodiscard]] bool has_read_tables() const;

    /// The store has the record with this epoch of `group`; 0: it has none.
    void note_stored_epoch(const group_service& group, std::uint64_t epoch);

    /// Whether the instances that knew newer records have had the time to write them back.
    [[nodiscard]] bool are_records_recovered() const;

    /// Whether every instance that may hold a lease is known. One that registered in the lost seconds
    /// may be missing from the table.
    [[nodiscard]] bool knows_all_leases() const;

    /// Whether something may be left to write back.
    [[nodiscard]] bool is_pending() const;

    /// Writes back what this instance knows and the store lacks, once the `rank` instances before it
    /// have had their turn. Returns whether the members should be polled soon. Call every few
    /// milliseconds.
    bool tick(int rank);

private:
    void write_back_records();
    [[nodiscard]] bool settle();

    recovery_ports m_ports;
    milliseconds m_max_lease;
    milliseconds m_max_provisional_lease;
    std::uint64_t m_era{0};
    steady_time m_era_seen_at{};
    bool m_was_witness{false}; ///< As the present era began.
    /// Groups of which a newer record is known here than the store has.
    std::set<group_name> m_lost_records;
    steady_time m_next_write_back{};
    steady_time m_next_settling{};
};

}
