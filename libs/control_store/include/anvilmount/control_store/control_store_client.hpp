/// \file control_store_client.hpp
/// The platform's three services as an instance uses them: the transactional
/// table, the object store and the list of instances. Every call may fail with
/// platform_unavailable (1401), and a change that fails so may have taken
/// effect: whoever makes it reads back what became of it and never just repeats.
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

/// One row of the table; the version grows with each change of the row.
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

    /// Reads a row; version 0 when there is none.
    void read_row(const std::string& key, const handler<table_row>& on_row);

    /// Writes a row if its version is still `expected`, and gives the new
    /// version. Errors: platform_conflict (1402), platform_unavailable (1401).
    void write_row(const std::string& key, const table_row& expected_and_value,
                   handler<std::uint64_t> on_written);

    /// Errors: platform_not_found (1404).
    void read_object(const std::string& name, handler<std::string> on_object);

    /// Objects are immutable: writing the same name again with the same bytes is no change.
    void write_object(const std::string& name, const std::string& bytes,
                      handler<std::monostate> on_written);

    void read_instances(handler<std::vector<instance_view>> on_instances);

private:
    control_store_client_options m_options;
    http2_client m_http;
};

}
