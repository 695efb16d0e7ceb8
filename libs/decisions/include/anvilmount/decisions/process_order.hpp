/// \file process_order.hpp
/// The order of the processes of one instance. They register one after the other under the same key of
/// the members table, each on the condition that the row there is the one it has read, so that a process
/// registers later than all before it. Each row says when its process registered. Any reader can thus
/// tell the row of the next process from that of an ended one, which a late change or a store that came
/// back from an older copy has brought back.
///
/// A process registers anew in each era of the store. Whoever is alive thereby comes after all that the
/// older copy lists.
#pragma once

#include "anvilmount/decisions/store_version.hpp"

#include <optional>
#include <string>

namespace anvilmount {

/// One process, as a row of the members table names it.
struct registered_process {
    std::string m_incarnation{};
    store_version m_registered_at{}; ///< Of the change that registered it.
};

/// What a row says about the processes of its instance.
enum class process_row {
    same_process,  ///< Of the process that is known.
    next_process,  ///< The process that was known has ended; this one came after it.
    ended_process, ///< Of a process that ended before; says nothing of the one that is known.
};

/// Returns when the process of a row registered. `stated`: what the row says; number 0 means by the
/// change that wrote the row, and nothing stands in rows of the version before, which count as registered
/// with each change.
[[nodiscard]] store_version registration_of(const std::optional<store_version>& stated,
                                            const store_version& row);

/// Classifies a row of `listed`. `known`: the newest process known of the instance, if any. `has_left`: it
/// has removed its row.
[[nodiscard]] process_row classify_row(const std::optional<registered_process>& known, bool has_left,
                                       const registered_process& listed);

/// Returns what a process states in the row it writes. `replaced`: the process whose row it replaces, if
/// there is one. `era`: the present era of the store.
[[nodiscard]] store_version registration_to_state(const std::optional<registered_process>& replaced,
                                                  const std::string& incarnation, std::uint64_t era);

}
