/// \file row_store.hpp
/// Stand-in for the platform's metadata store and its promotion call, for tests:
/// versioned rows, conditional changes and watches on tables over HTTP/1.1, with
/// faults that can be set. It can come back from a copy of itself that is some
/// seconds old, and names its era in each response.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/wire/reactor.hpp"
#include "anvilmount/wire/tcp_listener.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace standin {

struct row_store_faults {
    bool m_refuses{false};        ///< Answers every request with 503 and changes nothing.
    bool m_silent{false};         ///< Answers no request and changes nothing.
    int m_slowdown_factor{1};     ///< Multiplies the response time.
    double m_answer_loss_rate{0}; ///< Share of the changes that are applied and not answered.
    double m_late_rate{0}; ///< Share of the changes that are not answered, and applied 1 to 6 s later.
};

/// A call of POST /promote.
struct promotion_request {
    std::string m_group{};
    std::string m_candidate{};
    std::string m_holder{};
    std::uint64_t m_token{0};
};

class row_store {
public:
    /// Promotes the candidate. Returns false if the candidate is not running.
    using promotion_handler = std::function<bool(const promotion_request&)>;

    row_store(anvilmount::reactor& loop, std::uint32_t seed, promotion_handler on_promotion)
        : m_loop(loop), m_random(seed), m_on_promotion(std::move(on_promotion)) {}

    /// Errors: listen_failed (1603).
    [[nodiscard]] anvilmount::result<void> listen(const anvilmount::endpoint& address);

    /// Write or remove a row on behalf of the platform itself. Faults do not apply.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void drop(const std::string& table, const std::string& key);

    void set_faults(const row_store_faults& faults) { m_faults = faults; }

    /// Is told of each row that a client writes, before the client is answered.
    using write_observer =
        std::function<void(const std::string& table, const std::string& key, const std::string& value)>;
    void set_write_observer(write_observer observer) { m_on_write = std::move(observer); }

    /// Discards the change history: watches from an earlier version are answered 410.
    void forget_history();

    /// Goes back to the newest copy that is at least `age` old, or to the oldest one kept. What was
    /// written since is lost, and the next era begins.
    void restore(anvilmount::milliseconds age);

private:
    struct connection;
    using connection_ptr = std::shared_ptr<connection>;
    using row_key = std::pair<std::string, std::string>; ///< Table and key.

    struct row {
        std::string m_value{}; ///< Base64, as on the wire.
        std::uint64_t m_version{0};
    };

    struct change {
        std::uint64_t m_version{0};
        row_key m_key{};
        bool m_removed{false};
    };

    struct reply {
        int m_status{0};
        nlohmann::json m_body{};
    };

    /// A request for changes that is not answered yet.
    struct pending_watch {
        std::weak_ptr<connection> m_connection{};
        std::string m_table{};
        std::uint64_t m_after_version{0};
        anvilmount::steady_time m_deadline{};
    };

    /// The store as it was at one moment.
    struct backup {
        anvilmount::steady_time m_taken_at{};
        std::map<row_key, row> m_rows{};
        std::deque<change> m_history{};
        std::uint64_t m_version{1};
        std::uint64_t m_oldest_version{1};
    };

    void back_up_periodically();
    void accept(int fd);
    void handle_request(const connection_ptr& conn, const std::string& method, const std::string& target,
                        const std::map<std::string, std::string>& headers, const std::string& body);
    void send(const connection_ptr& conn, const reply& response);
    [[nodiscard]] reply read_rows(const std::map<std::string, std::string>& query) const;
    [[nodiscard]] reply change_rows(const std::string& body);
    [[nodiscard]] reply promote(const std::map<std::string, std::string>& headers, const std::string& body);
    [[nodiscard]] std::optional<reply> changes_since(const std::string& table,
                                                     std::uint64_t after_version) const;
    [[nodiscard]] nlohmann::json encode_row(const row_key& key) const;
    void write_row(const row_key& key, const std::optional<std::string>& value, std::uint64_t version);
    void answer_watches();
    void answer_watches_periodically();

    anvilmount::reactor& m_loop;
    std::mt19937 m_random;
    promotion_handler m_on_promotion;
    row_store_faults m_faults;
    write_observer m_on_write;
    std::unique_ptr<anvilmount::tcp_listener> m_listener;
    std::set<connection_ptr> m_connections;
    std::map<row_key, row> m_rows;
    std::deque<change> m_history;
    std::uint64_t m_version{1};
    std::uint64_t m_oldest_version{1}; ///< A watch can continue from this version or later.
    std::list<pending_watch> m_watches;
    std::uint64_t m_era{1};
    std::deque<backup> m_backups; ///< The latest last.
};

}
