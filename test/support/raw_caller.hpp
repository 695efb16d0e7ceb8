/// \file raw_caller.hpp
/// A caller that speaks the PostgreSQL protocol over a plain socket and reads only when it is told to. Its
/// receive buffer is small, so that an answer that it has not read stays with the instance.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/time.h>

namespace test {

class raw_caller {
public:
    /// `address` is IP:PORT of an instance's callers.
    explicit raw_caller(const std::string& address) : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        constexpr int small_buffer = 4096;
        constexpr timeval give_up{.tv_sec = 20, .tv_usec = 0};
        setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &small_buffer, sizeof small_buffer);
        setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &give_up, sizeof give_up);
        const std::size_t colon = address.find(':');
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &where.sin_addr);
        if (connect(m_fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) {
            throw std::runtime_error("cannot connect to " + address);
        }
    }
    ~raw_caller() { close(m_fd); }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    /// Begins a session.
    void start(const std::string& database) const {
        const std::string parameters =
            "user" + zero() + "test" + zero() + "database" + zero() + database + zero() + zero();
        constexpr std::uint32_t protocol_3 = 3U << 16U;
        write(number(static_cast<std::uint32_t>(parameters.size()) + 8) + number(protocol_3) + parameters);
    }

    void query(const std::string& sql) {
        write("Q" + number(static_cast<std::uint32_t>(sql.size()) + 5) + sql + zero());
    }

    /// Closes the sending direction; receiving goes on.
    void finish_sending() const { shutdown(m_fd, SHUT_WR); }

    /// Reads messages up to one of this type; false if the connection ends before.
    bool read_to(char type) { return read_to_one_of({&type, 1}) == type; }

    /// Reads messages up to one of these types, and returns its type; 0 if the connection ends before.
    char read_to_one_of(std::string_view types) {
        constexpr std::size_t head_size = 5;
        while (true) {
            if (!fill(head_size)) {
                return 0;
            }
            std::uint32_t length = 0;
            std::memcpy(&length, m_received.data() + m_used + 1, sizeof length);
            const std::size_t size = ntohl(length) + 1;
            if (!fill(size)) {
                return 0;
            }
            const char got = m_received[m_used];
            m_last_body = m_received.substr(m_used + head_size, size - head_size);
            m_used += size;
            if (types.find(got) != std::string_view::npos) {
                return got;
            }
        }
    }

    /// Body of the message that read_to() returned at.
    [[nodiscard]] const std::string& last_body() const { return m_last_body; }

    /// All bytes received so far.
    [[nodiscard]] const std::string& received() const { return m_received; }

    /// Whether nothing follows what was read, and the connection was closed rather than reset.
    bool is_closed_in_order() {
        std::array<char, 1> rest{};
        return m_used == m_received.size() && recv(m_fd, rest.data(), rest.size(), 0) == 0;
    }

private:
    static std::string zero() { return {'\0'}; }

    static std::string number(std::uint32_t value) {
        const std::uint32_t big_endian = htonl(value);
        return {reinterpret_cast<const char*>(&big_endian), sizeof big_endian};
    }

    void write(const std::string& bytes) const {
        static_cast<void>(send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

    /// Reads until `size` bytes wait.
    bool fill(std::size_t size) {
        std::array<char, 4096> chunk{};
        while (m_received.size() - m_used < size) {
            const ssize_t got = recv(m_fd, chunk.data(), chunk.size(), 0);
            if (got <= 0) {
                return false;
            }
            m_received.append(chunk.data(), static_cast<std::size_t>(got));
        }
        return true;
    }

    int m_fd;
    std::string m_received;
    std::size_t m_used{0}; ///< Bytes of m_received that read_to() has passed.
    std::string m_last_body;
};

}
