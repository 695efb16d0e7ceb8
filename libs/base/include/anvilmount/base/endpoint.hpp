/// \file endpoint.hpp
/// A TCP address by IP number. Host names are never looked up.
#pragma once

#include "anvilmount/base/failure.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmount {

struct endpoint {
    std::string m_address; ///< IPv4 in dotted form.
    std::uint16_t m_port{0};

    auto operator<=>(const endpoint&) const = default;
};

/// Returns "ADDRESS:PORT".
[[nodiscard]] std::string to_string(const endpoint& where);

/// Reads an address that a setting's check has let through.
[[nodiscard]] endpoint parse_validated_endpoint(std::string_view text);

/// Reads "ADDRESS:PORT". Errors: bad_address (1602).
[[nodiscard]] result<endpoint> parse_endpoint(std::string_view text);

/// Reads any number of "ADDRESS:PORT", joined by commas. Errors: bad_address (1602).
[[nodiscard]] result<std::vector<endpoint>> parse_endpoints(std::string_view text);

}
