/// \file promotion_orders.cpp
/// Remembers each ordered upstream until the latest moment at which the order can take effect.
#include "anvilmount/decisions/promotion_orders.hpp"

namespace anvilmount {

void promotion_orders::record(const upstream_id& target, steady_time now) {
    order& known = m_orders[target];
    known.m_was_repeated = now < known.m_may_act_until;
    known.m_may_act_until = now + max_order_age;
}

void promotion_orders::record_refusal(const upstream_id& target) {
    const auto known = m_orders.find(target);
    if (known != m_orders.end() && !known->second.m_was_repeated) {
        m_orders.erase(known);
    }
}

std::vector<upstream_id> promotion_orders::pending(steady_time now) const {
    std::vector<upstream_id> targets;
    for (const auto& [target, each] : m_orders) {
        if (now < each.m_may_act_until) {
            targets.push_back(target);
        }
    }
    return targets;
}

}
