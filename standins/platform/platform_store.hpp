/// \file platform_store.hpp
/// Stand-in for the platform, for tests: a table with compare-and-set, an object
/// store and an instance list that can lag, over HTTP/2 and JSON. Requests to /admin/
/// set its faults while it runs: down, slow, and answers lost after the change took
/// effect.
#pragma once

#include "anvilmount/wire/http2_exchange.hpp"
#include "anvilmount/wire/http2_server.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace standin {

struct platform_store_options {
    anvilmount::endpoint m_listen;
    anvilmount::milliseconds m_list_lag{0}; ///< Delay until a new instance list is served.
};

class platform_store {
public:
    platform_store(anvilmount::reactor& loop, const platform_store_options& options)
        : m_reactor(loop), m_options(options) {}

    /// Errors: listen_failed (1603).
    [[nodiscard]] anvilmount::result<void> start();

private:
    struct row {
        std::uint64_t m_version{0};
        nlohmann::json m_value;
    };

    void handle_request(const anvilmount::http2_request& request, anvilmount::response_sender respond);
    anvilmount::http2_response dispatch(const anvilmount::http2_request& request);
    anvilmount::http2_response handle_table(const anvilmount::http2_request& request,
                                            const std::string& key);
    anvilmount::http2_response handle_object(const anvilmount::http2_request& request,
                                             const std::string& name);
    anvilmount::http2_response handle_admin(const anvilmount::http2_request& request,
                                            const std::string& command);

    anvilmount::reactor& m_reactor;
    platform_store_options m_options;
    std::unique_ptr<anvilmount::http2_server> m_server;
    std::map<std::string, row> m_rows;
    std::map<std::string, std::string> m_objects;
    nlohmann::json m_instances = nlohmann::json::array();
    bool m_down{false};
    anvilmount::milliseconds m_delay{0};
    int m_answers_to_drop{0};
    std::uint64_t m_reads{0};
    std::uint64_t m_writes{0};
};

}
