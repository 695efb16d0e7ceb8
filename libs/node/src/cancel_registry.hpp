/// \file cancel_registry.hpp
/// Maps the cancel keys that callers received to their sessions. A key contains a
/// tag of the instance that issued it, since a load balancer may route the cancel
/// request to any instance.
#pragma once

#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/wire/pg_messages.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace anvilmount {

/// Returns the tag in the upper bits of the process numbers that `instance` issues.
[[nodiscard]] std::uint32_t cancel_tag(const instance_id& instance);

/// Returns the tag in a key's process number.
[[nodiscard]] std::uint32_t cancel_tag(const backend_key& key);

class cancel_registry {
public:
    explicit cancel_registry(const instance_id& self) : m_tag(cancel_tag(self)) {}

    /// Issues a key. `on_cancel` may be called from any thread.
    [[nodiscard]] backend_key add(std::uint32_t random_secret, std::function<void()> on_cancel);
    void remove(const backend_key& key);

    /// Cancels the session that has `key`. Returns false when the key is not registered.
    bool cancel(const backend_key& key);

    [[nodiscard]] std::uint32_t own_tag() const { return m_tag; }

private:
    struct entry {
        std::uint32_t m_secret;
        std::function<void()> m_on_cancel;
    };

    /// A part of the entries with its own lock.
    struct stripe {
        std::mutex m_lock;
        std::unordered_map<std::uint32_t, entry> m_entries; ///< By process number; guarded by m_lock.
        std::uint32_t m_next_number{0};                     ///< Guarded by m_lock.
    };

    static constexpr std::size_t stripe_count = 16;

    std::uint32_t m_tag;
    std::array<stripe, stripe_count> m_stripes;
};

}
