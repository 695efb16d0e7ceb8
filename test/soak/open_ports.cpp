/// \file open_ports.cpp
/// Matches the socket inodes of /proc/PID/fd with the lines of /proc/PID/net/tcp.
#include "soak/open_ports.hpp"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace test {
namespace {

constexpr int hexadecimal = 16;

/// Columns of /proc/net/tcp, counted from 0.
constexpr std::size_t local_address_column = 1;
constexpr std::size_t inode_column = 9;

std::set<std::string> socket_inodes(const std::string& process_folder) {
    const std::string prefix = "socket:[";
    std::set<std::string> inodes;
    std::error_code ended;
    for (const auto& each : std::filesystem::directory_iterator(process_folder + "/fd", ended)) {
        const std::string target = std::filesystem::read_symlink(each.path(), ended).string();
        if (target.starts_with(prefix)) {
            inodes.insert(target.substr(prefix.size(), target.size() - prefix.size() - 1));
        }
    }
    return inodes;
}

}

std::set<std::uint16_t> open_ports(pid_t process) {
    const std::string folder = "/proc/" + std::to_string(process);
    const std::set<std::string> inodes = socket_inodes(folder);
    std::set<std::uint16_t> ports;
    std::ifstream table(folder + "/net/tcp");
    for (std::string line; std::getline(table, line);) {
        std::istringstream text(line);
        std::vector<std::string> columns;
        for (std::string column; text >> column;) {
            columns.push_back(column);
        }
        if (columns.size() > inode_column && inodes.contains(columns[inode_column])) {
            const std::string& address = columns[local_address_column];
            ports.insert(static_cast<std::uint16_t>(
                std::stoul(address.substr(address.find(':') + 1), nullptr, hexadecimal)));
        }
    }
    return ports;
}

}
