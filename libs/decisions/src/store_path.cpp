/// \file store_path.cpp
/// Orders the relays: those of the same data centre first, then by processor share, then by
/// rendezvous hashing.
#include "anvilmount/decisions/store_path.hpp"

#include "anvilmount/decisions/placement.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace anvilmount {
namespace {

/// A failed path is not used for this time. It is shorter than the seconds within
/// which a configuration must take effect, and long enough to limit the cost of
/// refused calls.
constexpr milliseconds failure_cooldown{1000};

/// Maximum number of relays in the order. A store that refuses a third of the
/// instances rarely refuses this many relays at once.
constexpr std::size_t max_relays = 4;

/// All instances must hash the same string, so that they prefer the same relay.
std::uint64_t rendezvous_weight(const std::string& name) {
    return stable_hash("asks the store: " + name);
}

}

std::vector<store_path> order_store_paths(const store_path_request& request) {
    std::vector<store_relay_candidate> others(request.m_candidates.begin(), request.m_candidates.end());
    std::erase_if(others, [&](const store_relay_candidate& each) { return each.m_name == request.m_self; });
    const auto rank = [&](const store_relay_candidate& each) {
        return std::tuple(each.m_data_centre == request.m_data_centre, each.m_processor_millis,
                          rendezvous_weight(each.m_name));
    };
    std::sort(others.begin(), others.end(),
              [&](const store_relay_candidate& left, const store_relay_candidate& right) {
                  return rank(left) > rank(right);
              });
    const store_relay_candidate self{.m_name = request.m_self,
                                     .m_data_centre = request.m_data_centre,
                                     .m_processor_millis = request.m_processor_millis};
    const bool is_relay = others.empty() || rank(self) > rank(others.front());
    others.resize(std::min(others.size(), max_relays));
    std::vector<store_path> order;
    order.reserve(others.size() + 1);
    for (const store_relay_candidate& each : others) {
        order.push_back({.m_relay = each.m_address});
    }
    const bool direct_first = request.m_prefers_direct || is_relay;
    order.insert(order.begin() + (direct_first ? 0 : 1), store_path{});
    return order;
}

store_path_selector::store_path_selector() : m_order{store_path{}} {}

void store_path_selector::set_order(std::vector<store_path> order) {
    m_order = std::move(order);
    std::erase_if(m_failing_until, [&](const auto& each) {
        return std::find(m_order.begin(), m_order.end(), each.first) == m_order.end();
    });
}

bool store_path_selector::is_failing(const store_path& path, steady_time now) const {
    const auto found = m_failing_until.find(path);
    return found != m_failing_until.end() && now < found->second;
}

store_path store_path_selector::choose(steady_time now) const {
    const auto found = std::find_if(m_order.begin(), m_order.end(),
                                    [&](const store_path& each) { return !is_failing(each, now); });
    return found == m_order.end() ? store_path{} : *found;
}

void store_path_selector::record_success(const store_path& path) {
    m_failing_until.erase(path);
}

void store_path_selector::record_failure(const store_path& path, steady_time now) {
    m_failing_until[path] = now + failure_cooldown;
}

bool store_path_selector::is_direct_failing(steady_time now) const {
    return is_failing(store_path{}, now);
}

}
