/// \file line_appender.hpp
/// Writes log lines to a descriptor whole or not at all, and counts the lines
/// that a full pipe did not take: the next one that it takes tells how many.
#pragma once

#include <log4cxx/appenderskeleton.h>

#include <cstdint>
#include <string>

namespace anvilmount {

class line_appender : public log4cxx::AppenderSkeleton {
public:
    /// Does not own `fd`; one that would block must be non-blocking.
    line_appender(const log4cxx::LayoutPtr& layout, int fd);

    void close() override {}
    [[nodiscard]] bool requiresLayout() const override { return true; }

protected:
    /// Called under the skeleton's lock.
    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override;

private:
    bool flush_partial_line();
    bool write_line(std::string line);

    int m_fd{-1};
    std::string m_partial_line; ///< Of a line that was taken in part.
    std::uint64_t m_dropped{0}; ///< Since the last line that was taken.
};

}
