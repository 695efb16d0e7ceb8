/// \file guarded_answer.hpp
/// Reads and writes the protocol messages around a request with an id.
#pragma once

#include "anvilmount/decisions/request_guard.hpp"

#include <string>
#include <string_view>

namespace anvilmount {

/// Returns what an upstream's answer says for the next step. `error` is the
/// SQLSTATE that came with it, or empty.
[[nodiscard]] guard_answer read_guarded_answer(std::string_view answer, const std::string& error);

/// Returns the answer to a request that ran before: each message is answered as
/// if it had run now, rows left out.
[[nodiscard]] std::string replayed_answer(std::string_view messages, std::string_view tag);

}
