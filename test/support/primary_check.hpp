/// \file primary_check.hpp
/// Statements at a group's primary through single instances of a gateway_fleet, each checked: whatever is
/// acknowledged has run once, at the upstream that led the newest term when it was sent or at a later one.
#pragma once

#include "support/gateway_fleet.hpp"

#include <string>

namespace anvilmount::test {

/// Checks the group "orders" of a fleet, which must outlive it.
class primary_check {
public:
    explicit primary_check(gateway_fleet& fleet) : m_fleet(fleet) {}

    /// Sends a write through an instance, and returns whether it was acknowledged within 150 ms.
    bool write(int instance) { return run(instance, gateway::statement_kind::write, "WRITE 1 w"); }
    /// Sends a read on a database whose reads run at the primary.
    bool read(int instance) { return run(instance, gateway::statement_kind::read, "READ 1 r"); }

    /// Returns the running primary of the newest term; empty when there is none.
    [[nodiscard]] std::string newest_primary() const;
    /// Starts an upstream again, as a replica that has all commits.
    void recover_as_replica(const std::string& id);
    /// The newest primary, if any, reports that it leaves.
    void leave_primary();

private:
    bool run(int instance, gateway::statement_kind kind, const std::string& text);

    gateway_fleet& m_fleet;
    int m_statements{0};
};

}
