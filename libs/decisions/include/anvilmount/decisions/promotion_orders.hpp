/// \file promotion_orders.hpp
/// The promotions of one group that were ordered and may still take effect. An order that is not answered
/// may be carried out later, also after the coordinator that sent it was replaced. As long as one may, no
/// other upstream is announced as primary: its commits would be lost with it.
#pragma once

#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/time.hpp"

#include <map>
#include <vector>

namespace anvilmount {

/// A coordinator orders a promotion only on a confirmation of its role that was requested at most this
/// long ago: less than the time after which a silent coordinator is replaced, and enough for a slow store.
constexpr milliseconds max_confirmation_age{1500};

/// An order that has not taken effect this long after it was sent never will: its connection is reset
/// when the time to answer is over, and the platform needs some hundred milliseconds for a promotion.
constexpr milliseconds max_promotion_delay{3000};

/// From the request of a confirmation until the order that it allows can take effect no more.
constexpr milliseconds max_order_age = max_confirmation_age + max_promotion_delay;

class promotion_orders {
public:
    /// A promotion of `target` is ordered, at `now` at the latest after max_confirmation_age.
    void record(const upstream_id& target, steady_time now);

    /// The newest order to `target` was answered: `target` is not running, and the order has no effect.
    void record_refusal(const upstream_id& target);

    /// Returns the upstreams that may still be promoted by an order.
    [[nodiscard]] std::vector<upstream_id> pending(steady_time now) const;

private:
    struct order {
        steady_time m_may_act_until{};
        bool m_was_repeated{false}; ///< An earlier order to the same upstream may act as well.
    };

    std::map<upstream_id, order> m_orders;
};

}
