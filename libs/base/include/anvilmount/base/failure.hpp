/// \file failure.hpp
/// How functions report that they could not do what was asked: a LEAF result
/// that carries a numbered failure. Faults of the program itself (a broken
/// invariant) do not come this way; they end the process through `internal_check`.
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

/// A refusal or error with its number and a sentence that says what to do.
struct failure {
    result_code m_code{result_code::internal};
    std::string m_message;
};

template <class T>
using result = boost::leaf::result<T>;

/// Returns an error result that carries `code` and `message`.
[[nodiscard]] inline boost::leaf::error_id fail(result_code code, std::string message) {
    return boost::leaf::new_error(failure{.m_code = code, .m_message = std::move(message)});
}

/// Runs `body`, which returns result<T>, and returns its value or its failure.
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

/// Runs `body`, which returns result<void>, and returns its failure, if any.
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

/// Ends the process when an invariant of the program does not hold. Never used
/// for anything that a caller, an operator, a peer or the platform can cause.
inline void internal_check(bool holds, const char* invariant) {
    if (!holds) {
        std::fprintf(stderr, "internal check failed: %s\n", invariant);
        std::abort();
    }
}

}
