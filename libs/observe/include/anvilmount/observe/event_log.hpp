/// \file event_log.hpp
/// Structured log: one JSON object per line, with a stable event name for searching and counting.
/// docs/OPERATING.md lists the event names.
///
/// The rate of each event is limited; the next line that is written for the event reports how many were
/// suppressed, in the field left_out. Writing to standard output never blocks: it is made non-blocking, and
/// the lines that it does not accept are dropped and counted. Standard error is used as it is. Secrets and
/// statement texts must never be logged.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace anvilmount {

/// Severity of an event, in ascending order.
enum class log_level { debug, info, warning, error };

/// A named value of an event.
struct log_field {
    std::string_view m_name;
    std::string m_value;
};

/// Settings of start_event_log().
struct event_log_options {
    std::string m_process_name;       ///< Process name, written in each line as the logger.
    std::string m_threshold;          ///< Minimum level: debug, info, warning or error.
    bool m_to_standard_output{false}; ///< If false, logs to standard error.
};

/// Configures logging. Call once, before any thread starts; events logged earlier are discarded.
void start_event_log(const event_log_options& options);

/// Changes the minimum level of logged events.
void set_log_threshold(const std::string& threshold);

/// Logs one event, for example "upstream.connect_failed". Thread-safe.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

}
