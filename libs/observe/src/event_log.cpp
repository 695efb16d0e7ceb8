/// \file event_log.cpp
/// Implements the event log with log4cxx: the JSON layout formats each line, and the fields of an event
/// travel in the mapped diagnostic context (MDC).
#include "anvilmount/observe/event_log.hpp"

#include "line_appender.hpp"

#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace anvilmount {
namespace {

log4cxx::LoggerPtr& event_logger() {
    static log4cxx::LoggerPtr logger;
    return logger;
}

log4cxx::LevelPtr log4cxx_level(log_level level) {
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        break;
    }
    return log4cxx::Level::getError();
}

/// Per event. Enough lines to follow a fault, at negligible cost.
constexpr int max_lines_per_second = 20;

/// Limits the number of lines per second, for each event separately.
class event_rate_limiter {
public:
    /// Returns how many lines were suppressed since the last admitted one, or nothing when this line
    /// must be suppressed too.
    std::optional<std::uint64_t> admit(std::string_view event) {
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::steady_clock::now().time_since_epoch());
        const std::lock_guard guard(m_lock);
        auto found = m_events.find(event);
        if (found == m_events.end()) {
            found = m_events.emplace(std::string(event), event_window{}).first;
        }
        event_window& window = found->second;
        if (window.m_second != second) {
            window.m_second = second;
            window.m_line_count = 0;
        }
        if (++window.m_line_count > max_lines_per_second) {
            ++window.m_suppressed;
            return std::nullopt;
        }
        return std::exchange(window.m_suppressed, 0);
    }

private:
    struct event_window {
        std::chrono::seconds m_second{0};
        int m_line_count{0};
        std::uint64_t m_suppressed{0};
    };

    std::mutex m_lock;
    std::map<std::string, event_window, std::less<>> m_events; ///< Guarded by m_lock.
};

event_rate_limiter& rate_limiter() {
    static event_rate_limiter limiter;
    return limiter;
}

log_level level_from_name(const std::string& name) {
    return name == "debug"     ? log_level::debug
           : name == "info"    ? log_level::info
           : name == "warning" ? log_level::warning
                               : log_level::error;
}

}

void start_event_log(const event_log_options& options) {
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    layout->setPrettyPrint(false);
    layout->setLocationInfo(false);
    if (options.m_to_standard_output) {
        // A blocking descriptor would stall the process when the reader of the pipe stops reading.
        fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    }
    auto appender = std::make_shared<line_appender>(layout, options.m_to_standard_output ? STDOUT_FILENO
                                                                                         : STDERR_FILENO);
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(log4cxx_level(level_from_name(options.m_threshold)));
    event_logger() = log4cxx::Logger::getLogger(options.m_process_name);
}

void set_log_threshold(const std::string& threshold) {
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx_level(level_from_name(threshold)));
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    const log4cxx::LoggerPtr& logger = event_logger();
    if (!logger || !logger->isEnabledFor(log4cxx_level(level))) {
        return;
    }
    const auto suppressed = rate_limiter().admit(event);
    if (!suppressed) {
        return;
    }
    if (*suppressed > 0) {
        log4cxx::MDC::put("left_out", std::to_string(*suppressed));
    }
    for (const log_field& field : fields) {
        log4cxx::MDC::put(std::string(field.m_name), field.m_value);
    }
    logger->forcedLog(log4cxx_level(level), std::string(event));
    log4cxx::MDC::clear();
}

}
