/// \file store_path.hpp
/// Chooses how an instance reaches the metadata store: directly, over its own
/// connections, or through a relay, another instance that sends the request for
/// it. Each call to the store costs money, so in a large fleet one instance per
/// data centre relays for all others there: one of those with the largest
/// processor share, since a relay carries the traffic of some fifty instances. In a small fleet an instance
/// uses relays only when the store refuses its own connections.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace anvilmount {

/// An instance that can relay requests to the store.
struct store_relay_candidate {
    std::string m_name{};
    data_centre m_data_centre{};
    std::uint32_t m_processor_millis{0}; ///< Processor share, in thousandths of a core; 0: unknown.
    endpoint m_address{};
};

/// A path to the store.
struct store_path {
    std::optional<endpoint> m_relay{}; ///< Unset: the direct path.

    auto operator<=>(const store_path&) const = default;
};

/// Input of order_store_paths().
struct store_path_request {
    std::string m_self{}; ///< Name of the instance that needs a path.
    data_centre m_data_centre{};
    std::uint32_t m_processor_millis{0}; ///< Of the instance itself.
    bool m_prefers_direct{true};         ///< Relays are used only when the direct path fails.
    std::span<const store_relay_candidate> m_candidates{}; ///< May include the instance itself.
};

/// Returns the paths to the store, the preferred one first; the direct path is
/// always among them. Instances of one data centre prefer the same relay.
[[nodiscard]] std::vector<store_path> order_store_paths(const store_path_request& request);

/// Selects the first path that has not failed recently.
class store_path_selector {
public:
    store_path_selector();

    /// Replaces the paths, the preferred one first, and forgets the failures of removed ones.
    void set_order(std::vector<store_path> order);

    /// Returns the first path that has not failed recently; the direct path when all have.
    [[nodiscard]] store_path choose(steady_time now) const;

    /// Ends the cooldown of `path`.
    void record_success(const store_path& path);
    /// Starts the cooldown of `path`.
    void record_failure(const store_path& path, steady_time now);

    /// True when the direct path has failed recently.
    [[nodiscard]] bool is_direct_failing(steady_time now) const;

private:
    [[nodiscard]] bool is_failing(const store_path& path, steady_time now) const;

    std::vector<store_path> m_order;                   ///< Never empty.
    std::map<store_path, steady_time> m_failing_until; ///< End of the cooldown of each failed path.
};

}
