/// \file caller_batch.hpp
/// The protocol messages of one request, collected until one of them requests a reply
/// (Query, Sync or Flush). A request may run on any pooled connection, so the caller's
/// statement names are replaced by names that mean the same on every connection.
#pragma once

#include "anvilmount/base/failure.hpp"
#include "anvilmount/decisions/statement_class.hpp"
#include "anvilmount/wire/pg_framing.hpp"
#include "peer.pb.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace anvilmount {

/// A statement that a caller has prepared. Any connection can prepare it again from this.
struct prepared_statement {
    std::string m_upstream_name; ///< Empty for the unnamed statement.
    std::string m_parse_message; ///< Complete Parse message with that name.
    std::uint64_t m_digest{0};   ///< Digest of the statement's tokens.
    script_traits m_traits;
};

/// Keyed by the caller's statement name; the unnamed statement has an empty one.
using prepared_statements = std::map<std::string, std::shared_ptr<const prepared_statement>, std::less<>>;

class caller_batch {
public:
    /// One message and the statement that it refers to.
    struct entry {
        char m_type;
        std::shared_ptr<const script_traits> m_traits; ///< Null for messages without a statement.
        bool m_describes_statement{false};
    };

    /// Adds a message. Parse adds a statement to `prepared`, Close removes it.
    /// Errors: protocol_violation (1001).
    [[nodiscard]] result<void> add(const pg_message& message, prepared_statements& prepared);

    [[nodiscard]] bool empty() const { return m_entries.empty(); }
    [[nodiscard]] std::size_t size_bytes() const { return m_wire.messages().size(); }
    [[nodiscard]] const std::vector<entry>& entries() const { return m_entries; }
    /// Returns the batch as it is sent to the home.
    [[nodiscard]] const peer::request_batch& wire() const { return m_wire; }

    /// Returns a digest of the statements and parameters. It does not depend on comments,
    /// nor on whether the simple or the extended protocol is used.
    [[nodiscard]] std::string digest() const { return std::to_string(m_digest); }

    /// True when the upstream's reply to the batch ends with ReadyForQuery.
    [[nodiscard]] bool ends_with_sync() const;

    /// Returns the traits of all statements of the batch.
    [[nodiscard]] script_traits traits() const;

    /// True when the proxy answers the whole batch without an upstream.
    [[nodiscard]] bool is_answered_locally() const;

private:
    result<void> add_parse(const pg_message& message, prepared_statements& prepared);
    result<void> add_bind(const pg_message& message, const prepared_statements& prepared);
    result<void> add_describe_or_close(const pg_message& message, prepared_statements& prepared);
    /// Returns the statement's name at the upstream and sets `traits`. Adds the statement to the
    /// batch, so that a connection without it can prepare it first.
    std::string upstream_name_of(std::string_view name, const prepared_statements& prepared,
                                 std::shared_ptr<const script_traits>& traits);

    peer::request_batch m_wire;
    std::vector<entry> m_entries;
    void add_to_digest(std::uint64_t part);

    bool m_has_unnamed_parse{false};
    std::uint64_t m_digest{0};
};

}
