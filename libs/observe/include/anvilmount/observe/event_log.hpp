/// \file event_log.hpp
/// Structured logs: one JSON object a line, with a stable event name that
/// operators can search and count by. Each event's rate is bounded; what was
/// left out is counted in the next line of that event. Writing never blocks. docs/OPERATING.md lists
/// the names. Secrets and statement texts never go into a log.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace anvilmount {

enum class log_level { debug, info, warning, error };

/// One named value of an event.
struct log_field {
    std::string_view m_name;
    std::string m_value;
};

struct event_log_options {
    std::string m_process_name;       ///< Name that appears in each line.
    std::string m_threshold;          ///< debug, info, warning or error.
    bool m_to_standard_output{false}; ///< Else to standard error.
};

/// Sets up logging; called once, before any thread starts.
void start_event_log(const event_log_options& options);

/// Changes the least level of events that are logged.
void set_log_threshold(const std::string& threshold);

/// Writes one event, for example "upstream.connect_failed".
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

}
