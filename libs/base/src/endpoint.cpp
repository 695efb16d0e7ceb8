/// \file endpoint.cpp
#include "anvilmount/base/endpoint.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace anvilmount {

std::string to_string(const endpoint& where) {
    return where.m_address + ":" + std::to_string(where.m_port);
}

result<endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    endpoint parsed;
    in_addr ignored{};
    bool good = colon != std::string_view::npos;
    if (good) {
        parsed.m_address = std::string(text.substr(0, colon));
        const std::string_view port = text.substr(colon + 1);
        const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), parsed.m_port);
        good = !port.empty() && error == std::errc{} && end == port.data() + port.size() &&
               inet_pton(AF_INET, parsed.m_address.c_str(), &ignored) == 1;
    }
    if (!good) {
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
    const auto* read = std::get_if<0>(&parsed);
    internal_check(read != nullptr, "an address was checked before it is used");
    return *read;
}

}
