/// \file control_store_client.hpp
/// Client for the platform's three services: the transactional table, the object
/// store and the list of instances. Every call may fail with platform_unavailable
/// (1401). A write that fails this way may have taken effect: read the outcome back
/// instead of repeating the write.
#pragma once

#include "anvilmount/base/failure.hpp"
#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/placement.hpp"
#include "anvilmount/wire/http2_exchange.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace anvilmount {

/// A row of the table. The version increases with each change of the row.
struct table_row {
    std::uint64_t m_version{0}; ///< 0: the row does not exist.
    nlohmann::json m_value;
};

struct control_store_client_options {
    endpoint m_address;
    milliseconds m_timeout{2000};
};

class control_store_client {
public:
    template <class Value>
    using handler = std::function<void(std::variant<Value, failure>)>;

    control_store_client(reactor& loop, const control_store_client_options& options)
        : m_options(options), m_http(loop, options.m_address) {}

    /// Reads a row. A row that does not exist has version 0.
    void read_row(const std::string& key, const handler<table_row>& on_row);

    /// Writes the value if the row still has the given version, and passes the new
    /// version to `on_written`. Errors: platform_conflict (1402),
    /// platform_unavailable (1401).
    void write_row(const std::string& key, const table_row& expected_and_value,
                   handler<std::uint64_t> on_written);

    /// Reads an object. Errors: platform_not_found (1404).
    void read_object(const std::string& name, handler<std::string> on_object);

    /// Writes an object. Objects are immutable; writing the same bytes under the same
    /// name again has no effect.
    void write_object(const std::string& name, const std::string& bytes,
                      handler<std::monostate> on_written);

    void read_instances(handler<std::vector<instance_view>> on_instances);

private:
    control_store_client_options m_options;
    http2_client m_http;
};

}
