/// \file line_upstreams.hpp
/// Stand-ins for the platform's databases: groups of upstreams that speak the
/// line protocol on loopback, with slots, a log with terms, replicas that lag,
/// and promotion. Whoever watches is told each statement that runs and each
/// commit, in the order in which they happen.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/wire/reactor.hpp"
#include "anvilmount/wire/tcp_listener.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace standin {

/// One commit that wrote.
struct line_commit {
    std::uint64_t m_term{0};
    std::vector<std::string> m_ids{};             ///< Statements that wrote.
    std::map<std::string, std::string> m_items{}; ///< What they left.
};

using line_log = std::vector<std::shared_ptr<const line_commit>>;

/// One statement as an upstream ran it.
struct line_run {
    std::string m_upstream{};
    std::string m_id{};
    std::string m_text{}; ///< A prepared statement's name is replaced by its access and shape.
    std::uint64_t m_connection{0};
    std::uint64_t m_transaction{0}; ///< Never reused; 0 outside any.
    std::map<std::string, std::string> m_values{};
    std::vector<std::string> m_rows{};
    std::string m_proof{};
};

struct line_upstream_faults {
    bool m_down{false};
    double m_answer_loss{0}; ///< Share of the answers that are lost with their connection.
    int m_slowness{1};       ///< Statements take this many times as long.
    anvilmount::milliseconds m_extra_lag{0};
};

struct line_upstream_options {
    std::string m_id{};
    std::string m_group{};
    anvilmount::endpoint m_listen{};
    int m_slots{3};
    int m_most_connections{21};
    bool m_leads{false};
};

struct line_watchers {
    std::function<void(const line_run&)> m_on_run{};
    std::function<void(const std::string& upstream, const std::shared_ptr<const line_commit>&)>
        m_on_commit{};
    std::function<void(const std::string& upstream)> m_on_role_change{};
};

class line_upstreams {
public:
    line_upstreams(anvilmount::reactor& loop, std::uint32_t seed, line_watchers watchers)
        : m_loop(loop), m_random(seed), m_watchers(std::move(watchers)) {}

    /// Errors: listen_failed (1603).
    [[nodiscard]] anvilmount::result<void> add(const line_upstream_options& options);

    /// Faults of one upstream; going down ends its connections, coming back it has its log.
    void set_faults(const std::string& id, const line_upstream_faults& faults);

    /// Lets `id` lead the next term after a while. Returns false when it is not running.
    bool promote(const std::string& group, const std::string& id);

    [[nodiscard]] bool is_down(const std::string& id) const { return m_members.at(id).m_faults.m_down; }
    [[nodiscard]] bool leads(const std::string& id) const { return m_members.at(id).m_leads; }
    [[nodiscard]] const line_log& log(const std::string& id) const { return m_members.at(id).m_log; }

    /// The newest leader of a group, whether it runs or not.
    [[nodiscard]] std::string leader(const std::string& group) const;

private:
    struct member;

    struct prepared {
        std::string m_access{};
        std::string m_shape{};
    };

    struct connection {
        std::uint64_t m_number{0};
        std::string m_member{};
        std::shared_ptr<anvilmount::tcp_stream> m_stream{};
        std::string m_unread{};
        std::deque<std::string> m_waiting{}; ///< Lines not yet looked at.
        bool m_started{false};
        bool m_busy{false}; ///< A statement holds a slot or waits for one.
        bool m_failed{false};
        bool m_read_only{false};
        std::uint64_t m_transaction{0};
        std::vector<std::pair<std::string, std::string>> m_writes{}; ///< Of the transaction: item and data.
        std::vector<std::string> m_write_ids{};
        std::map<std::string, std::string> m_values{};
        std::map<std::string, prepared> m_prepared{};
    };
    using connection_ptr = std::shared_ptr<connection>;

    struct member {
        line_upstream_options m_options{};
        line_upstream_faults m_faults{};
        std::unique_ptr<anvilmount::tcp_listener> m_listener{};
        std::set<connection_ptr> m_connections{};
        std::deque<std::function<void()>> m_for_slot{};
        int m_running{0};
        bool m_leads{false};
        std::uint64_t m_term{1};
        line_log m_log{};
    };

    [[nodiscard]] anvilmount::result<void> listen(member& at);
    void accept(const std::string& id, int fd);
    void close(const connection_ptr& on);
    void take_lines(const connection_ptr& on, std::string_view bytes);
    void pump(const connection_ptr& on);
    void start(const connection_ptr& on, const std::string& line);
    void take_slot(const connection_ptr& on, const std::string& id, const std::string& text);
    void give_slot_back(const std::string& id);
    void serve(const connection_ptr& on, const std::string& id, const std::string& text);
    [[nodiscard]] std::string serve_own(connection& on, const std::string& text);
    [[nodiscard]] std::string begin(connection& on, bool read_only);
    [[nodiscard]] std::string run(connection& on, const std::string& id, const std::string& text);
    [[nodiscard]] std::string commit(connection& on, const std::string& id);
    [[nodiscard]] std::string status(const member& at) const;
    [[nodiscard]] bool lacks(const member& at, const std::string& position) const;
    [[nodiscard]] std::string value_of(const member& at, const connection& on,
                                       const std::string& item) const;
    void append(member& at, std::vector<std::string> ids,
                const std::vector<std::pair<std::string, std::string>>& writes);
    void replicate(const std::string& leader);
    void receive(member& at, const member& from, std::size_t count);
    void demote(member& at);
    void reply(const connection_ptr& on, const std::string& text);
    void tick();

    anvilmount::reactor& m_loop;
    std::mt19937 m_random;
    line_watchers m_watchers;
    std::map<std::string, member> m_members;
    std::uint64_t m_next_number{1}; ///< Of connections, transactions and proofs.
    bool m_ticking{false};
};

}
