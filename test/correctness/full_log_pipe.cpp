/// \file full_log_pipe.cpp
/// When nobody reads the log pipe, lines are dropped and counted. Guards against a full pipe that blocks
/// the process, and against truncated lines: the pipe accepts part of a line when it is nearly full.
#include "anvilmount/observe/event_log.hpp"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace anvilmount;

namespace {

/// Redirects standard output to a non-blocking pipe during its lifetime.
class captured_output {
public:
    captured_output() {
        BOOST_REQUIRE(pipe2(m_ends.data(), O_NONBLOCK | O_CLOEXEC) == 0);
        m_before = dup(STDOUT_FILENO);
        dup2(m_ends[1], STDOUT_FILENO);
    }
    ~captured_output() {
        dup2(m_before, STDOUT_FILENO);
        for (const int each : {m_before, m_ends[0], m_ends[1]}) {
            close(each);
        }
    }
    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;

    std::string read_all() {
        std::string all;
        std::array<char, 65536> chunk{};
        for (ssize_t got = 0; (got = read(m_ends[0], chunk.data(), chunk.size())) > 0;) {
            all.append(chunk.data(), static_cast<std::size_t>(got));
        }
        return all;
    }

private:
    std::array<int, 2> m_ends{};
    int m_before{-1};
};

struct counted_lines {
    int m_events{0};
    int m_dropped{0};
    int m_unreadable{0};
};

void count(const std::string& text, counted_lines& into) {
    std::size_t start = 0;
    for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', start)) {
        const auto line = nlohmann::json::parse(text.substr(start, end - start), nullptr, false);
        start = end + 1;
        if (!line.is_object()) {
            ++into.m_unreadable;
        } else if (line.at("message") == "log.lines_dropped") {
            into.m_dropped += std::stoi(line.at("context_map").at("lines").get<std::string>());
        } else {
            ++into.m_events;
        }
    }
    into.m_unreadable += start == text.size() ? 0 : 1;
}

}

BOOST_AUTO_TEST_CASE(lines_that_a_full_pipe_does_not_take_are_counted) {
    constexpr int events = 3000;
    counted_lines got;
    {
        captured_output output;
        start_event_log({.m_process_name = "test", .m_threshold = "info", .m_to_standard_output = true});
        // Each event has its own name, because the rate per event is limited.
        const std::string filler(6000, 'x');
        for (int number = 0; number < events; ++number) {
            log_event(log_level::info, "event." + std::to_string(number),
                      {{"filler", number % 10 == 0 ? filler : "short"}});
        }
        std::string text = output.read_all();
        log_event(log_level::info, "event.after");
        text += output.read_all();
        count(text, got);
    }
    BOOST_TEST(got.m_unreadable == 0);
    BOOST_TEST(got.m_events < events);
    BOOST_TEST(got.m_events + got.m_dropped == events + 1);
}
