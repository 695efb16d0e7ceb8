/// \file line_appender.cpp
/// Keeps the unwritten end of a line that the descriptor accepted in part, and writes nothing else until
/// that end is out, so that lines are never interleaved or cut.
#include "line_appender.hpp"

#include <log4cxx/helpers/pool.h>
#include <log4cxx/helpers/transcoder.h>

#include <unistd.h>

namespace anvilmount {

line_appender::line_appender(const log4cxx::LayoutPtr& layout, int fd) : m_fd(fd) {
    setLayout(layout);
}

void line_appender::append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) {
    log4cxx::LogString formatted;
    getLayout()->format(formatted, event, pool);
    LOG4CXX_ENCODE_CHAR(line, formatted);
    if (m_dropped > 0 && write_line(R"({ "level": "WARN", "message": "log.lines_dropped", )"
                                    R"("context_map": { "lines": ")" +
                                    std::to_string(m_dropped) + "\" } }\n")) {
        m_dropped = 0;
    }
    if (m_dropped > 0 || !write_line(line)) {
        ++m_dropped;
    }
}

/// Writes what is left of an earlier line. Returns whether that line is complete.
bool line_appender::flush_partial_line() {
    if (m_partial_line.empty()) {
        return true;
    }
    const ssize_t written = ::write(m_fd, m_partial_line.data(), m_partial_line.size());
    m_partial_line.erase(0, written > 0 ? static_cast<std::size_t>(written) : 0);
    return m_partial_line.empty();
}

bool line_appender::write_line(std::string line) {
    if (!flush_partial_line()) {
        return false;
    }
    const ssize_t written = ::write(m_fd, line.data(), line.size());
    if (written <= 0) {
        return false;
    }
    m_partial_line = line.substr(static_cast<std::size_t>(written));
    return true;
}

}
