/// \file endpoint.hpp
/// An IPv4 address with a TCP port, and its textual form "ADDRESS:PORT". Every
/// address that a process listens on or connects to is an endpoint. Addresses
/// are numeric; host names are never resolved.
#pragma once

#include "anvilmount/base/failure.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmount {

/// One end of a TCP connection.
struct endpoint {
    std::string m_address; ///< IPv4 in dotted-decimal form.
    std::uint16_t m_port{0};

    auto operator<=>(const endpoint&) const = default;
};

/// Returns "ADDRESS:PORT".
[[nodiscard]] std::string to_string(const endpoint& address);

/// Parses the value of a setting that endpoint_text() has accepted. Aborts the
/// process if `text` is not an endpoint.
[[nodiscard]] endpoint parse_validated_endpoint(std::string_view text);

/// Parses "ADDRESS:PORT". Errors: bad_address (1602).
[[nodiscard]] result<endpoint> parse_endpoint(std::string_view text);

/// Parses a comma-separated list of "ADDRESS:PORT", which may be empty. Errors: bad_address (1602).
[[nodiscard]] result<std::vector<endpoint>> parse_endpoints(std::string_view text);

}
