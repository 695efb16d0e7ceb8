/// \file line_appender.hpp
/// A log4cxx appender for a non-blocking descriptor such as a pipe. A line is written whole or dropped.
/// When the pipe is full, dropped lines are counted, and a log.lines_dropped line reports their number as
/// soon as the pipe accepts lines again.
#pragma once

#include <log4cxx/appenderskeleton.h>

#include <cstdint>
#include <string>

namespace anvilmount {

/// Appends formatted events to a descriptor without blocking.
class line_appender : public log4cxx::AppenderSkeleton {
public:
    /// Does not own `fd`. A descriptor that can block, such as a pipe, must be set to non-blocking mode.
    line_appender(const log4cxx::LayoutPtr& layout, int fd);

    void close() override {}
    [[nodiscard]] bool requiresLayout() const override { return true; }

protected:
    /// Called with the lock of AppenderSkeleton held.
    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override;

private:
    bool flush_partial_line();
    bool write_line(std::string line);

    int m_fd{-1};
    std::string m_partial_line; ///< Unwritten end of a partly written line.
    std::uint64_t m_dropped{0}; ///< Lines dropped and not yet reported.
};

}
