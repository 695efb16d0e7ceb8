/// \file parsers.cpp
/// Guards against parsers of external input that crash, read past their input or
/// depend on how it is split into pieces: each parser accepts or rejects arbitrary
/// bytes.
#include "anvilmount/control_store/configuration_record.hpp"
#include "anvilmount/decisions/session_token.hpp"
#include "anvilmount/decisions/sql_tokens.hpp"
#include "anvilmount/decisions/statement_class.hpp"
#include "anvilmount/wire/frame_codec.hpp"
#include "anvilmount/wire/pg_boundary.hpp"
#include "anvilmount/wire/pg_framing.hpp"
#include "anvilmount/wire/pg_messages.hpp"
#include "peer.pb.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace anvilmount;

namespace {

using bytes = std::vector<char>;

std::string text_of(const bytes& input) {
    return {input.begin(), input.end()};
}

/// Complete backend messages with arbitrary bodies.
std::string backend_stream(const std::vector<bytes>& bodies) {
    constexpr std::string_view types = "DTCZSN12";
    std::string out;
    for (std::size_t index = 0; index < bodies.size(); ++index) {
        pg_message_writer(out, types[index % types.size()]).bytes(text_of(bodies[index]));
    }
    return out;
}

/// Passes `whole` to `take` in pieces whose lengths cycle through `sizes`.
template <class Take>
void feed_in_pieces(std::string_view whole, const std::vector<std::uint8_t>& sizes, Take take) {
    for (std::size_t index = 0; !whole.empty(); ++index) {
        const std::size_t wanted = sizes.empty() ? whole.size() : 1U + sizes[index % sizes.size()] % 40U;
        const std::size_t part = std::min(wanted, whole.size());
        take(whole.substr(0, part));
        whole.remove_prefix(part);
    }
}

}

BOOST_AUTO_TEST_CASE(a_reply_stream_is_parsed_the_same_for_any_split) {
    const bool holds =
        rc::check("splitter", [](const std::vector<bytes>& bodies, const std::vector<std::uint8_t>& sizes) {
            const std::string stream = backend_stream(bodies);
            std::string seen;
            reply_splitter splitter;
            pg_boundary boundary;
            const reply_sink sink{
                .m_on_message = [&](const pg_message& message) { seen.append(message.m_raw_bytes); },
                .m_on_row = [] {},
                .m_on_row_bytes = [&](std::string_view part) { seen.append(part); }};
            feed_in_pieces(stream, sizes, [&](std::string_view part) {
                RC_ASSERT(!failure_of([&] { return splitter.feed(part, sink); }).has_value());
                boundary.feed(part);
            });
            RC_ASSERT(seen == stream);
            RC_ASSERT(boundary.is_between_messages());
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(arbitrary_bytes_are_parsed_or_rejected) {
    const bool holds = rc::check("any bytes", [](const bytes& input) {
        const std::string text = text_of(input);
        pg_message_buffer messages(max_frontend_message_size);
        messages.append(text);
        const auto first = value_or_failure([&] { return messages.next(); });
        const auto* read = std::get_if<0>(&first);
        const bool exceeds_input =
            read != nullptr && read->has_value() && (*read)->m_raw_bytes.size() > text.size();
        RC_ASSERT(!exceeds_input);
        pg_message_buffer startup(max_frontend_message_size);
        startup.append(text);
        static_cast<void>(value_or_failure([&] { return startup.next_startup(); }));
        static_cast<void>(value_or_failure([&] { return parse_startup_parameters(text); }));
        static_cast<void>(parse_error_response(text));
        frame_buffer frames;
        frames.append(text);
        peer::front_frame frame;
        static_cast<void>(value_or_failure([&] { return frames.next(frame); }));
        RC_ASSERT(!classify_script(text).m_statements.empty());
        const auto record = value_or_failure([&] { return parse_configuration(text); });
        RC_ASSERT(record.index() == 1);
        session_token token;
        static_cast<void>(failure_of([&] { return token.adopt(text, {"orders"}); }));
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(a_script_with_a_write_is_never_read_only) {
    const bool holds = rc::check("hidden writes", [](const bytes& before, const bytes& after) {
        // A script with a separate DELETE statement is not read-only, whatever surrounds it.
        const std::string sql = text_of(before) + ";\nDELETE FROM t;\n" + text_of(after);
        const token_list tokens = tokenize_sql(sql);
        const bool visible = std::any_of(tokens.m_tokens.begin(), tokens.m_tokens.end(),
                                         [](const sql_token& token) { return is_word(token, "delete"); });
        const bool is_read = classify_script(sql).is_read_only();
        RC_ASSERT(!(is_read && visible));
    });
    BOOST_TEST(holds);
}
