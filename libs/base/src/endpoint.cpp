/// \file endpoint.cpp
/// Parses and formats endpoints.
#include "anvilmount/base/endpoint.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace anvilmount {

std::string to_string(const endpoint& address) {
    return address.m_address + ":" + std::to_string(address.m_port);
}

result<endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    endpoint parsed;
    in_addr binary{};
    bool valid = colon != std::string_view::npos;
    if (valid) {
        parsed.m_address = std::string(text.substr(0, colon));
        const std::string_view port = text.substr(colon + 1);
        const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), parsed.m_port);
        valid = !port.empty() && error == std::errc{} && end == port.data() + port.size() &&
                inet_pton(AF_INET, parsed.m_address.c_str(), &binary) == 1;
    }
    if (!valid) {
        return fail(result_code::bad_address,
                    "'" + std::string(text) +
                        "' is not an address; expected IP:PORT with a port up to 65535");
    }
    return parsed;
}

result<std::vector<endpoint>> parse_endpoints(std::string_view text) {
    std::vector<endpoint> parsed;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        BOOST_LEAF_AUTO(next, parse_endpoint(text.substr(0, comma)));
        parsed.push_back(next);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return parsed;
}

endpoint parse_validated_endpoint(std::string_view text) {
    const auto parsed = value_or_failure([&] { return parse_endpoint(text); });
    const auto* value = std::get_if<0>(&parsed);
    internal_check(value != nullptr, "an address is validated before it is parsed");
    return *value;
}

}
