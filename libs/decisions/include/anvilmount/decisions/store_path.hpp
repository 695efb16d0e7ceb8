/// \file store_path.hpp
/// Chooses how an instance reaches the metadata store: over its own connections,
/// or through another instance that asks for it. In a large fleet one instance
/// of each data centre asks for all there, since each call of the store is paid
/// for; in a small one the others are asked only by an instance that the store
/// turns away.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/time.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace anvilmount {

/// An instance that may ask the store for others.
struct store_relay_candidate {
    std::string m_name{};
    data_centre m_data_centre{};
    endpoint m_address{};
};

/// A way to the store.
struct store_path {
    std::optional<endpoint> m_relay{}; ///< Unset: over connections of its own.

    auto operator<=>(const store_path&) const = default;
};

struct store_path_request {
    std::string m_self{};
    data_centre m_data_centre{};
    bool m_prefers_direct{true}; ///< Others are asked only after its own connections.
    std::span<const store_relay_candidate> m_candidates{};
};

/// Returns the ways to the store, the preferred one first; its own is always
/// among them. Instances of one data centre prefer the same relay.
[[nodiscard]] std::vector<store_path> order_store_paths(const store_path_request& request);

/// Remembers which ways have failed lately.
class store_path_selector {
public:
    store_path_selector();

    void set_order(std::vector<store_path> order);

    /// Returns the first way that has not failed lately; its own connections when all have.
    [[nodiscard]] store_path choose(steady_time now) const;

    void record_success(const store_path& path);
    void record_failure(const store_path& path, steady_time now);

    /// Whether its own connections have failed lately.
    [[nodiscard]] bool is_direct_failing(steady_time now) const;

private:
    [[nodiscard]] bool is_failing(const store_path& path, steady_time now) const;

    std::vector<store_path> m_order; ///< Never empty.
    std::map<store_path, steady_time> m_failing_until;
};

}
