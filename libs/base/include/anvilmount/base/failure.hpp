/// \file failure.hpp
/// Error reporting. Functions report errors that callers, operators, peers or
/// the platform can cause as a Boost.LEAF result that carries a numbered failure.
/// A violated invariant of the program is not reported as a result:
/// internal_check() aborts the process.
#pragma once

#include "anvilmount/base/result_code.hpp"

#include <boost/leaf.hpp>

#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace anvilmount {

/// A refusal or an error: its result code and a message that says what to do.
struct failure {
    result_code m_code{result_code::internal};
    std::string m_message;
};

template <class T>
using result = boost::leaf::result<T>;

/// Returns an error that converts to any result<T> and carries `code` and `message`.
[[nodiscard]] inline boost::leaf::error_id fail(result_code code, std::string message) {
    return boost::leaf::new_error(failure{.m_code = code, .m_message = std::move(message)});
}

/// Calls `body`, which returns result<T>, and returns its value or its failure
/// as std::variant<T, failure>.
template <class Body>
[[nodiscard]] auto value_or_failure(Body&& body) {
    using value_type = std::decay_t<decltype(std::declval<std::invoke_result_t<Body>>().value())>;
    using either = std::variant<value_type, failure>;
    return boost::leaf::try_handle_all(
        [&]() -> result<either> {
            BOOST_LEAF_AUTO(value, std::forward<Body>(body)());
            return either{std::in_place_index<0>, std::move(value)};
        },
        [](failure& caught) {
            return either{std::in_place_index<1>, std::move(caught)};
        },
        [] {
            return either{std::in_place_index<1>,
                          failure{.m_code = result_code::internal, .m_message = "unnumbered error"}};
        });
}

/// Calls `body`, which returns result<void>, and returns its failure, if any.
template <class Body>
[[nodiscard]] std::optional<failure> failure_of(Body&& body) {
    return boost::leaf::try_handle_all(
        [&]() -> result<std::optional<failure>> {
            BOOST_LEAF_CHECK(std::forward<Body>(body)());
            return std::optional<failure>{};
        },
        [](failure& caught) { return std::optional<failure>{std::move(caught)}; },
        [] {
            return std::optional<failure>{
                failure{.m_code = result_code::internal, .m_message = "unnumbered error"}};
        });
}

/// Aborts the process if an invariant of the program does not hold. Not for
/// conditions that a caller, an operator, a peer or the platform can cause.
inline void internal_check(bool holds, const char* invariant) {
    if (!holds) {
        std::fprintf(stderr, "internal check failed: %s\n", invariant);
        std::abort();
    }
}

}
