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

log4cxx::LevelPtr native_level(log_level level) {
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
constexpr int most_lines_a_second = 20;

/// Limits the number of lines per second, for each event separately.
class line_budget {
public:
    /// Returns how many lines were suppressed since the last admitted one, or nothing when this line
    /// must be suppressed too.
    std::optional<std::uint64_t> take(std::string_view event) {
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::steady_clock::now().time_since_epoch());
        const std::lock_guard guard(m_lock);
        auto known = m_events.find(event);
        if (known == m_events.end()) {
            known = m_events.emplace(std::string(event), spent{}).first;
        }
        spent& each = known->second;
        if (each.m_second != second) {
            each.m_second = second;
            each.m_lines = 0;
        }
        if (++each.m_lines > most_lines_a_second) {
            ++each.m_left_out;
            return std::nullopt;
        }
        return std::exchange(each.m_left_out, 0);
    }

private:
    struct spent {
        std::chrono::seconds m_second{0};
        int m_lines{0};
        std::uint64_t m_left_out{0};
    };

    std::mutex m_lock;
    std::map<std::string, spent, std::less<>> m_events; ///< Guarded by m_lock.
};

line_budget& budget() {
    static line_budget all;
    return all;
}

log_level level_named(const std::string& name) {
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
        fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    }
    auto appender = std::make_shared<line_appender>(layout, options.m_to_standard_output ? STDOUT_FILENO
                                                                                         : STDERR_FILENO);
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(native_level(level_named(options.m_threshold)));
    event_logger() = log4cxx::Logger::getLogger(options.m_process_name);
}

void set_log_threshold(const std::string& threshold) {
    log4cxx::Logger::getRootLogger()->setLevel(native_level(level_named(threshold)));
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    const log4cxx::LoggerPtr& logger = event_logger();
    if (!logger || !logger->isEnabledFor(native_level(level))) {
        return;
    }
    const auto left_out = budget().take(event);
    if (!left_out) {
        return;
    }
    if (*left_out > 0) {
        log4cxx::MDC::put("left_out", std::to_string(*left_out));
    }
    for (const log_field& field : fields) {
        log4cxx::MDC::put(std::string(field.m_name), field.m_value);
    }
    logger->forcedLog(native_level(level), std::string(event));
    log4cxx::MDC::clear();
}

}
