/// \file tcp_stream.cpp
/// Checks that a stream can be read while a handler of another one runs.
#include "support/event_loop.hpp"
#include "support/raw_peer.hpp"

#include "anvilmount/wire/tcp_stream.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace anvilmount;
using namespace anvilmount::test;

/// Guards against bytes that change while they are handled, because another stream is read meanwhile.
BOOST_AUTO_TEST_CASE(reading_what_has_arrived_on_a_stream_leaves_the_bytes_of_another_alone) {
    event_loop loop;
    raw_peer first_peer;
    raw_peer second_peer;
    std::string first;
    std::string second;
    const auto second_stream =
        tcp_stream::adopt(loop.m_loop, second_peer.served_end(),
                          {.m_on_bytes = [&](std::string_view bytes) { second.append(bytes); }});
    const auto first_stream =
        tcp_stream::adopt(loop.m_loop, first_peer.served_end(), {.m_on_bytes = [&](std::string_view bytes) {
                              second_peer.write("other bytes");
                              second_stream->read_arrived();
                              first.append(bytes);
                          }});
    first_peer.write("first bytes");
    loop.run_until([&] { return !first.empty(); });
    BOOST_TEST(first == "first bytes");
    BOOST_TEST(second == "other bytes");
}
