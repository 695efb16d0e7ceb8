/// \file cancel_registry.cpp
/// A process number has the tag in its upper bits and a counter in its lower bits.
/// The process number modulo stripe_count selects the stripe.
#include "cancel_registry.hpp"

#include "anvilmount/decisions/placement.hpp"

namespace anvilmount {
namespace {

constexpr unsigned tag_bits = 12;
constexpr unsigned number_bits = 32 - tag_bits;
constexpr std::uint32_t number_mask = (1U << number_bits) - 1;

}

std::uint32_t cancel_tag(const instance_id& instance) {
    return static_cast<std::uint32_t>(stable_hash(instance.m_text) & ((1U << tag_bits) - 1));
}

std::uint32_t cancel_tag(const backend_key& key) {
    return key.m_process_id >> number_bits;
}

backend_key cancel_registry::add(std::uint32_t random_secret, std::function<void()> on_cancel) {
    const std::size_t index = random_secret % stripe_count;
    stripe& chosen = m_stripes[index];
    const std::lock_guard guard(chosen.m_lock);
    std::uint32_t process = 0;
    do {
        const std::uint32_t number =
            (chosen.m_next_number++ * stripe_count + static_cast<std::uint32_t>(index)) & number_mask;
        process = (m_tag << number_bits) | number;
    } while (chosen.m_entries.contains(process));
    chosen.m_entries.emplace(process,
                             entry{.m_secret = random_secret, .m_on_cancel = std::move(on_cancel)});
    return {.m_process_id = process, .m_secret = random_secret};
}

void cancel_registry::remove(const backend_key& key) {
    stripe& chosen = m_stripes[key.m_process_id % stripe_count];
    const std::lock_guard guard(chosen.m_lock);
    chosen.m_entries.erase(key.m_process_id);
}

bool cancel_registry::cancel(const backend_key& key) {
    std::function<void()> on_cancel;
    {
        stripe& chosen = m_stripes[key.m_process_id % stripe_count];
        const std::lock_guard guard(chosen.m_lock);
        const auto known = chosen.m_entries.find(key.m_process_id);
        if (known == chosen.m_entries.end() || known->second.m_secret != key.m_secret) {
            return false;
        }
        on_cancel = known->second.m_on_cancel;
    }
    on_cancel();
    return true;
}

}
