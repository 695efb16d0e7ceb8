/// \file token_bucket.hpp
/// Limits the operations of one client account at one instance. A token is taken when an operation is
/// handed to its group, and given back if the operation is refused before anything of it was sent.
///
/// A token that is given back is spent later than it was counted. The bucket therefore bounds the tokens
/// that it holds together with those taken lately: at most the capacity and what is added within
/// `max_delay`. Without the bound, operations that are refused again and again would save up tokens.
#pragma once

#include "anvilmount/base/time.hpp"

#include <deque>

namespace anvilmount {

class token_bucket {
public:
    /// The bucket begins empty and adds nothing before set_limits(). An operation reaches its upstream at
    /// most `max_delay` after its token was taken.
    explicit token_bucket(milliseconds max_delay) : m_max_delay(max_delay) {}

    /// From `now` on `rate` tokens are added a second, up to `capacity`. A greater capacity adds no tokens.
    void set_limits(double rate, double capacity, steady_time now);

    /// Removes all tokens.
    void empty(steady_time now);

    /// Takes a token. Returns whether there was one.
    [[nodiscard]] bool take(steady_time now);

    /// Gives back the token that was taken at `taken_at`. Nothing is given back after `max_delay`.
    void give_back(steady_time taken_at, steady_time now);

    /// Returns when a token will be there; `now` + `longest` at the latest.
    [[nodiscard]] steady_time next_token_at(steady_time now, milliseconds longest) const;

    [[nodiscard]] double level(steady_time now);

private:
    void refill(steady_time now);

    milliseconds m_max_delay;
    double m_rate{0};
    double m_capacity{0};
    double m_level{0}; ///< At most m_capacity.
    steady_time m_refilled_at{};
    /// When the tokens of the last m_max_delay were taken, the oldest first; those given back are removed.
    std::deque<steady_time> m_recent;
};

}
