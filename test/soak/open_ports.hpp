/// \file open_ports.hpp
/// Finds the local TCP ports of another process, so that a relay can tell whose connections it carries.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <set>

namespace test {

/// Returns the local ports of the IPv4 sockets that `process` holds; none if it has ended.
[[nodiscard]] std::set<std::uint16_t> open_ports(pid_t process);

}
