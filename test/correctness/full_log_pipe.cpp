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
class redirected_output {
public:
    redirected_output() {
        BOOST_REQUIRE(pipe2(m_pipe.data(), O_NONBLOCK | O_CLOEXEC) == 0);
        m_saved_stdout = dup(STDOUT_FILENO);
        dup2(m_pipe[1], STDOUT_FILENO);
    }
    ~redirected_output() {
        dup2(m_saved_stdout, STDOUT_FILENO);
        for (const int each : {m_saved_stdout, m_pipe[0], m_pipe[1]}) {
            close(each);
        }
    }
    redirected_output(const redirected_output&) = delete;
    redirected_output& operator=(const redirected_output&) = delete;

    std::string read_all() {
        std::string all;
        std::array<char, 65536> chunk{};
        for (ssize_t got = 0; (got = read(m_pipe[0], chunk.data(), chunk.size())) > 0;) {
            all.append(chunk.data(), static_cast<std::size_t>(got));
        }
        return all;
    }

private:
    std::array<int, 2> m_pipe{};
    int m_saved_stdout{-1};
};

struct line_counts {
    int m_events{0};
    int m_dropped{0};
    int m_unreadable{0};
};

void add_line_counts(const std::string& text, line_counts& counts) {
    std::size_t start = 0;
    for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', start)) {
        const auto line = nlohmann::json::parse(text.substr(start, end - start), nullptr, false);
        start = end + 1;
        if (!line.is_object()) {
            ++counts.m_unreadable;
        } else if (line.at("message") == "log.lines_dropped") {
            counts.m_dropped += std::stoi(line.at("context_map").at("lines").get<std::string>());
        } else {
            ++counts.m_events;
        }
    }
    counts.m_unreadable += start == text.size() ? 0 : 1;
}

}

BOOST_AUTO_TEST_CASE(lines_dropped_by_a_full_pipe_are_counted) {
    constexpr int events = 3000;
    line_counts got;
    {
        redirected_output output;
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
        add_line_counts(text, got);
    }
    BOOST_TEST(got.m_unreadable == 0);
    BOOST_TEST(got.m_events < events);
    BOOST_TEST(got.m_events + got.m_dropped == events + 1);
}
