/// \file lease_renewals.hpp
/// Heartbeats of many instances in one row. An instance whose own record is stored and unchanged
/// only counts its heartbeats. A relay publishes the counts of all instances that it serves, and a
/// reader takes an instance to be alive when any of its counts has changed. The store thus carries
/// one small row per relay and interval, however many instances and groups there are.
///
/// A count stays published for longer than any lease after its last change, so that a reader that
/// polls in between cannot miss the renewal of a lease that is still valid.
#pragma once

#include "anvilmount/base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvilmount {

/// Key: incarnation of the instance, so that a restarted process is not taken for the one before it.
using renewal_counts = std::map<std::string, std::uint64_t>;

/// The counts that one relay publishes.
class published_renewals {
public:
    /// Records a heartbeat. One that arrives late, after a newer one, changes nothing: a reader that
    /// had seen its count would miss the newer one.
    void record(const std::string& incarnation, std::uint64_t count, steady_time now);

    /// Returns the counts to publish, and forgets those that have not changed for the retention time.
    [[nodiscard]] renewal_counts counts(steady_time now);

private:
    struct renewal {
        std::uint64_t m_count{0};
        steady_time m_recorded_at{};
    };
    std::map<std::string, renewal> m_renewals; ///< Key: incarnation.
};

/// The counts that a reader has seen in the rows of all relays.
class observed_renewals {
public:
    /// Takes in the counts in the row `row_key` and returns the incarnations whose count has changed. All
    /// of a row that was not known count as changed: when they last renewed is not known.
    [[nodiscard]] std::vector<std::string> observe(const std::string& row_key, renewal_counts counts);

    /// Forgets a row that was removed from the store.
    void forget(const std::string& row_key) { m_rows.erase(row_key); }

private:
    std::map<std::string, renewal_counts> m_rows; ///< Key: row key.
};

}
