/// \file guarded_answer.hpp
/// Protocol messages of a request that carries a request id: parses the upstream's reply
/// for request_guard, and builds the reply to a request that has already run.
#pragma once

#include "anvilmount/decisions/request_guard.hpp"

#include <string>
#include <string_view>

namespace anvilmount {

/// Returns the parts of an upstream's reply that request_guard needs. `error` is the
/// SQLSTATE of the reply's error, or empty.
[[nodiscard]] guard_answer read_guarded_answer(std::string_view answer, const std::string& error);

/// Returns the reply to a request that has already run. Each of `messages` gets its
/// normal reply, but without rows; `tag` is the command tag of the first run.
[[nodiscard]] std::string replayed_answer(std::string_view messages, std::string_view tag);

}
