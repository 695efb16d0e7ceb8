/// \file bad_messages.cpp
/// Malformed and oversized protocol messages are answered with a numbered error and close only the
/// connection that sent them. Guards against parsers that crash, hang or disturb other sessions.
#include "load/pg_session.hpp"
#include "support/fleet.hpp"

#include "anvilmount/wire/pg_messages.hpp"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace anvilmount;

namespace {

/// Sends bytes on a new connection and returns everything received until the server closes it.
std::string send_and_receive_all(const std::string& address, const std::string& bytes) {
    const std::size_t colon = address.find(':');
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const timeval timeout{.tv_sec = 20, .tv_usec = 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    BOOST_REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0);
    BOOST_REQUIRE(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    std::string response;
    char part[4096];
    for (ssize_t got = recv(fd, part, sizeof part, 0); got > 0; got = recv(fd, part, sizeof part, 0)) {
        response.append(part, static_cast<std::size_t>(got));
    }
    close(fd);
    return response;
}

std::string startup_packet() {
    std::string out;
    append_startup(out, {{"user", "u"}, {"database", "orders"}});
    return out;
}

std::string replication_startup_packet() {
    std::string out;
    append_startup(out, {{"user", "u"}, {"database", "orders"}, {"replication", "database"}});
    return out;
}

struct malformed_input {
    const char* m_description;
    std::string m_bytes;
    const char* m_result_number;
};

std::vector<malformed_input> malformed_inputs() {
    using namespace std::string_literals;
    return {
        {"startup packet with an invalid length", "\x7f\xff\xff\xff garbage"s, "1001"},
        {"protocol version 2", "\0\0\0\x08\0\x02\0\0"s, "1003"},
        {"startup packet truncated inside a name", "\0\0\0\x0c\0\x03\0\0user"s, "1001"},
        {"replication connection", replication_startup_packet(), "1102"},
        {"unknown message type", startup_packet() + "y\0\0\0\x04"s, "1001"},
        {"message type that is not a letter", startup_packet() + "\x01\0\0\0\x04"s, "1001"},
        {"length smaller than the length field", startup_packet() + "Q\0\0\0\x01"s, "1001"},
        {"message above the maximum size", startup_packet() + "Q\x7f\xff\xff\xff"s, "1002"},
        {"query without a null terminator at its end", startup_packet() + "Q\0\0\0\x07sel"s, "1001"},
        {"truncated bind", startup_packet() + "B\0\0\0\x05x"s, "1001"},
        {"truncated parse", startup_packet() + "P\0\0\0\x06\0x"s, "1001"},
        {"describe of neither a statement nor a portal", startup_packet() + "D\0\0\0\x06X\0"s, "1001"},
    };
}

}

BOOST_AUTO_TEST_CASE(malformed_messages_close_only_their_own_connection) {
    const test::fleet fleet({.m_upstreams = 1});
    standin::pg_session other_session(fleet.caller(), "orders");
    BOOST_REQUIRE(other_session.run("CREATE TABLE t (id int primary key)").m_good);
    BOOST_REQUIRE(other_session.run("BEGIN").m_good);
    BOOST_REQUIRE(other_session.run("INSERT INTO t VALUES (1)").m_good);
    for (const malformed_input& each : malformed_inputs()) {
        BOOST_TEST_CONTEXT(each.m_description) {
            const std::string response = send_and_receive_all(fleet.caller(), each.m_bytes);
            BOOST_TEST(response.find(std::string("M") + each.m_result_number) != std::string::npos);
        }
    }
    BOOST_TEST(other_session.run("COMMIT").m_tag == "COMMIT");
    BOOST_TEST(other_session.run("SELECT count(*) FROM t").value() == "1");
}
