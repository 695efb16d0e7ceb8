/// \file small_site.hpp
/// A small deployment on loopback: the platform's store and promotion endpoint, the backends of one
/// service, and gateway processes that are started as the deploy file says. The store, the promotion
/// endpoint and the backends are threads of the calling process.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

/// Writes the record of a run, one line an event, with the seconds since the start.
class record_file {
public:
    explicit record_file(const std::string& path) : m_out(path, std::ios::trunc), m_start(steady::now()) {}

    void line(const std::string& text) {
        const std::lock_guard guard(m_lock);
        const double at = std::chrono::duration<double>(steady::now() - m_start).count();
        m_out << std::fixed << std::setprecision(3) << std::setw(8) << at << "  " << text << std::endl;
    }

private:
    std::mutex m_lock;
    std::ofstream m_out;
    steady::time_point m_start;
};

struct address {
    std::string m_ip{};
    std::uint16_t m_port{0};
    [[nodiscard]] std::string text() const { return m_ip + ":" + std::to_string(m_port); }
    [[nodiscard]] sockaddr_in raw() const {
        sockaddr_in out{};
        out.sin_family = AF_INET;
        out.sin_port = htons(m_port);
        inet_pton(AF_INET, m_ip.c_str(), &out.sin_addr);
        return out;
    }
};

inline bool send_all(int fd, const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t sent = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

inline int connect_to(const address& where) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in raw = where.raw();
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

/// Accepts connections and serves each on a thread of its own.
class listener {
public:
    listener(const address& where, std::function<void(int)> serve) : m_serve(std::move(serve)) {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in raw = where.raw();
        if (bind(m_fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) != 0 ||
            listen(m_fd, 1024) != 0) {
            throw std::runtime_error("cannot listen on " + where.text());
        }
        std::thread([this] {
            for (;;) {
                const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                const int no_delay = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
                std::thread([this, fd] {
                    m_serve(fd);
                    ::close(fd);
                }).detach();
            }
        }).detach();
    }

    /// Refuses new connections from now on.
    void close() {
        shutdown(m_fd, SHUT_RDWR);
        ::close(m_fd);
    }

private:
    int m_fd{-1};
    std::function<void(int)> m_serve;
};

inline std::string to_base64(const std::string& bytes) {
    static const char* const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group =
                (group << 8U) | (at + k < bytes.size() ? static_cast<unsigned char>(bytes[at + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += at + k <= bytes.size() ? letters[(group >> (18U - 6U * k)) & 63U] : '=';
        }
    }
    return out;
}

/// The platform's metadata store (rows only) and its promotion endpoint.
class store {
public:
    store(const address& where, std::function<int(const std::string& id)> on_promote)
        : m_on_promote(std::move(on_promote)), m_listener(where, [this](int fd) { serve(fd); }) {}

    void put(const std::string& table, const std::string& key, const std::string& value) {
        const std::lock_guard guard(m_lock);
        write(table, key, to_base64(value), false);
        m_changed.notify_all();
    }

private:
    struct row {
        std::string m_value{}; ///< Base64.
        std::uint64_t m_version{0};
        bool m_removed{false};
    };

    void write(const std::string& table, const std::string& key, const std::string& value, bool removed) {
        ++m_version;
        m_tables[table][key] = {.m_value = value, .m_version = m_version, .m_removed = removed};
    }

    static std::string decode_percent(const std::string& text) {
        std::string out;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                out += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                out += text[at];
            }
        }
        return out;
    }

    static json shown(const std::string& table, const std::string& key, const row& each) {
        json out{{"table", table}, {"part", ""}, {"key", key}, {"ver", each.m_version}};
        if (each.m_removed) {
            out["removed"] = true;
        } else {
            out["value"] = each.m_value;
        }
        return out;
    }

    json stamped(json body) const {
        body["ver"] = m_version;
        body["nowMs"] = std::chrono::duration_cast<milliseconds>(steady::now().time_since_epoch()).count();
        return body;
    }

    void serve(int fd) {
        std::string in;
        std::array<char, 65536> chunk{};
        for (;;) {
            std::size_t end = 0;
            std::size_t length = 0;
            for (;;) {
                end = in.find("\r\n\r\n");
                if (end != std::string::npos) {
                    std::string head = in.substr(0, end);
                    std::transform(head.begin(), head.end(), head.begin(), ::tolower);
                    const std::size_t field = head.find("content-length:");
                    length = field == std::string::npos ? 0 : std::stoul(head.substr(field + 15));
                    if (in.size() >= end + 4 + length) {
                        break;
                    }
                }
                const ssize_t got = recv(fd, chunk.data(), chunk.size(), 0);
                if (got <= 0) {
                    return;
                }
                in.append(chunk.data(), static_cast<std::size_t>(got));
            }
            const std::string head = in.substr(0, end);
            const std::string body = in.substr(end + 4, length);
            in.erase(0, end + 4 + length);
            std::istringstream words(head);
            std::string method;
            std::string target;
            words >> method >> target;
            const auto [status, reply] = answer(method, target, body);
            const std::string text = reply.dump();
            if (!send_all(fd, "HTTP/1.1 " + std::to_string(status) +
                                  " -\r\nContent-Type: application/json\r\n"
                                  "Store-Era: 1\r\nContent-Length: " +
                                  std::to_string(text.size()) + "\r\n\r\n" + text)) {
                return;
            }
        }
    }

    std::pair<int, json> answer(const std::string& method, const std::string& target,
                                const std::string& body) {
        const std::size_t mark = target.find('?');
        const std::string path = target.substr(0, mark);
        std::map<std::string, std::string> query;
        if (mark != std::string::npos) {
            std::istringstream parts(target.substr(mark + 1));
            for (std::string part; std::getline(parts, part, '&');) {
                const std::size_t equals = part.find('=');
                query[part.substr(0, equals)] = decode_percent(part.substr(equals + 1));
            }
        }
        if (method == "POST" && path == "/promote") {
            return {m_on_promote(json::parse(body).at("id").get<std::string>()), json::object()};
        }
        std::unique_lock guard(m_lock);
        if (path == "/anvilmount/rows-get") {
            json rows = json::array();
            for (const auto& [key, each] : m_tables[query["table"]]) {
                if (!each.m_removed && key >= query["from"]) {
                    rows.push_back(shown(query["table"], key, each));
                }
            }
            return {200, stamped({{"rows", rows}, {"hasMore", false}})};
        }
        if (path == "/anvilmount/rows-feed") {
            const std::uint64_t after = std::stoull(query["after"]);
            const auto changes = [&] {
                std::map<std::uint64_t, json> ordered;
                for (const auto& [key, each] : m_tables[query["table"]]) {
                    if (each.m_version > after) {
                        ordered[each.m_version] = shown(query["table"], key, each);
                    }
                }
                json rows = json::array();
                for (const auto& [version, each] : ordered) {
                    rows.push_back(each);
                }
                return rows;
            };
            m_changed.wait_for(guard, milliseconds{std::stoll(query["waitMs"])},
                               [&] { return !changes().empty(); });
            return {200, stamped({{"rows", changes()}})};
        }
        if (method == "POST" && path == "/anvilmount/rows-tx") {
            const json request = json::parse(body);
            json current = json::array();
            bool holds = true;
            for (const json& each : request.value("expectedRevision", json::array())) {
                const auto table = each.at("table").get<std::string>();
                const auto key = each.at("key").get<std::string>();
                const auto found = m_tables[table].find(key);
                const bool exists = found != m_tables[table].end() && !found->second.m_removed;
                holds =
                    holds && each.at("ver").get<std::uint64_t>() == (exists ? found->second.m_version : 0);
                if (exists) {
                    current.push_back(shown(table, key, found->second));
                }
            }
            if (!holds) {
                return {412, stamped({{"rows", current}})};
            }
            ++m_version;
            for (const json& each : request.value("writes", json::array())) {
                m_tables[each.at("table").get<std::string>()][each.at("key").get<std::string>()] = {
                    .m_value = each.value("value", std::string{}), .m_version = m_version};
            }
            for (const json& each : request.value("remove", json::array())) {
                auto& table = m_tables[each.at("table").get<std::string>()];
                const auto found = table.find(each.at("key").get<std::string>());
                if (found != table.end()) {
                    found->second = {.m_version = m_version, .m_removed = true};
                }
            }
            m_changed.notify_all();
            return {200, stamped(json::object())};
        }
        return {404, json::object()};
    }

    std::mutex m_lock;
    std::condition_variable m_changed;
    std::uint64_t m_version{0};
    std::map<std::string, std::map<std::string, row>> m_tables;
    std::function<int(const std::string&)> m_on_promote;
    listener m_listener;
};

/// What a backend has run.
struct execution {
    std::string m_backend{};
    std::string m_id{};
    std::string m_text{};
};

/// A commit in the log of a backend.
struct commit {
    std::string m_id{}; ///< Of the statement that committed.
};

/// The backends of one service: a primary and its replicas. Commits are received by the replicas at once,
/// unless these are deaf, and applied `m_lag` later.
class service {
public:
    struct options {
        std::string m_name{"orders-db"};
        int m_backends{3};
        int m_slots{3};
        std::size_t m_queue{24}; ///< Statements that wait for a slot; more get BUSY.
        milliseconds m_work{8};
        milliseconds m_lag{60};
        int m_sync_replicas{0};
        int m_rows{1}; ///< ROW messages of the answer to a read.
        std::size_t m_row_bytes{5};
    };

    /// `on_role`: the registration of a backend changes. `on_promoted`: it leads, with this log.
    struct observers {
        std::function<void(const execution&)> m_on_run{};
        std::function<void(int backend, bool is_primary)> m_on_role{};
        std::function<void(int backend, const std::vector<commit>& log)> m_on_promoted{};
    };

    service(options chosen, std::vector<address> where, observers told)
        : m_options(std::move(chosen)), m_addresses(std::move(where)), m_told(std::move(told)),
          m_nodes(static_cast<std::size_t>(m_options.m_backends)) {
        for (std::size_t number = 0; number < m_nodes.size(); ++number) {
            m_nodes[number] = std::make_unique<node>();
            m_nodes[number]->m_is_primary = number == 0;
            listen(number);
        }
    }

    static std::string id_of(std::size_t number) { return "i-" + std::to_string(number); }

    /// While deaf, a replica receives nothing. Afterwards it receives what it has missed.
    void set_deaf(std::size_t number, bool deaf) {
        const std::lock_guard guard(m_lock);
        m_nodes[number]->m_is_deaf = deaf;
        if (!deaf) {
            follow_primary(*m_nodes[number]);
        }
    }

    /// The backend is gone for good: its connections close, and new ones are refused.
    void crash(std::size_t number) {
        const std::lock_guard guard(m_lock);
        node& crashed = *m_nodes[number];
        crashed.m_is_down = true;
        crashed.m_listener->close();
        for (const int fd : crashed.m_connections) {
            shutdown(fd, SHUT_RDWR);
        }
    }

    /// POST /promote: the status of the answer. The promotion takes effect 600 ms later.
    int promote(const std::string& id) {
        for (std::size_t number = 0; number < m_nodes.size(); ++number) {
            if (id_of(number) != id) {
                continue;
            }
            const std::lock_guard guard(m_lock);
            if (m_nodes[number]->m_is_down) {
                return 409;
            }
            if (!m_nodes[number]->m_is_primary) {
                std::thread([this, number] {
                    std::this_thread::sleep_for(milliseconds{600});
                    lead(number);
                }).detach();
            }
            return 200;
        }
        return 409;
    }

    [[nodiscard]] std::size_t received_by(std::size_t number) const {
        const std::lock_guard guard(m_lock);
        return m_nodes[number]->m_log.size();
    }

private:
    struct received_commit {
        commit m_what{};
        steady::time_point m_applied_at{};
    };

    struct node {
        bool m_is_primary{false};
        bool m_is_deaf{false};
        bool m_is_down{false};
        std::uint64_t m_term{1};
        std::vector<received_commit> m_log{};
        std::set<int> m_connections{};
        int m_running{0};
        std::vector<std::uint64_t> m_waiting{}; ///< Tickets, in order.
        std::condition_variable m_slot_freed{};
        std::unique_ptr<listener> m_listener{};
    };

    /// Of one connection.
    struct session {
        bool m_in_transaction{false};
        bool m_wrote{false};
        std::map<std::string, std::pair<std::string, std::string>> m_prepared{};
    };

    void listen(std::size_t number) {
        m_nodes[number]->m_listener =
            std::make_unique<listener>(m_addresses[number], [this, number](int fd) {
                {
                    const std::lock_guard guard(m_lock);
                    m_nodes[number]->m_connections.insert(fd);
                }
                serve(number, fd);
                const std::lock_guard guard(m_lock);
                m_nodes[number]->m_connections.erase(fd);
            });
    }

    node* primary() {
        node* newest = nullptr;
        for (const auto& each : m_nodes) {
            if (each->m_is_primary && (newest == nullptr || each->m_term > newest->m_term)) {
                newest = each.get();
            }
        }
        return newest;
    }

    void follow_primary(node& replica) {
        node* leader = primary();
        if (leader == nullptr || leader == &replica || leader->m_is_down) {
            return;
        }
        replica.m_log = leader->m_log;
        replica.m_term = leader->m_term;
        replica.m_is_primary = false;
    }

    void lead(std::size_t number) {
        std::vector<commit> log;
        {
            const std::lock_guard guard(m_lock);
            node& next = *m_nodes[number];
            if (next.m_is_down || next.m_is_primary) {
                return;
            }
            std::uint64_t newest = 0;
            for (const auto& each : m_nodes) {
                newest = std::max(newest, each->m_term);
            }
            next.m_term = newest + 1;
            next.m_is_primary = true;
            for (received_commit& each : next.m_log) {
                each.m_applied_at = {};
                log.push_back(each.m_what);
            }
            for (std::size_t other = 0; other < m_nodes.size(); ++other) {
                node& each = *m_nodes[other];
                if (&each == &next || each.m_is_deaf || each.m_is_down) {
                    continue;
                }
                if (each.m_is_primary) {
                    // The old primary goes on for a second.
                    std::thread([this, other] {
                        std::this_thread::sleep_for(milliseconds{1000});
                        {
                            const std::lock_guard later(m_lock);
                            follow_primary(*m_nodes[other]);
                        }
                        m_told.m_on_role(static_cast<int>(other), false);
                    }).detach();
                } else {
                    follow_primary(each);
                }
            }
        }
        m_told.m_on_promoted(static_cast<int>(number), log);
        m_told.m_on_role(static_cast<int>(number), true);
    }

    /// Requires m_lock.
    static std::size_t applied(const node& each) {
        const auto now = steady::now();
        return static_cast<std::size_t>(
            std::count_if(each.m_log.begin(), each.m_log.end(),
                          [&](const auto& one) { return one.m_applied_at <= now; }));
    }

    /// Returns how many replicas have received the commit.
    int append(node& leader, const std::string& id) {
        int received = 0;
        leader.m_log.push_back({.m_what = {.m_id = id}});
        for (const auto& each : m_nodes) {
            if (each.get() != &leader && !each->m_is_deaf && !each->m_is_down &&
                each->m_term == leader.m_term) {
                each->m_log.push_back(
                    {.m_what = {.m_id = id}, .m_applied_at = steady::now() + m_options.m_lag});
                ++received;
            }
        }
        return received;
    }

    void serve(std::size_t number, int fd) {
        std::string in;
        std::array<char, 65536> chunk{};
        bool started = false;
        session open;
        std::size_t scanned = 0;
        const auto ready = [&] {
            const std::lock_guard guard(m_lock);
            const node& self = *m_nodes[number];
            return std::string("READY ") + (open.m_in_transaction ? "T" : "I") + " " +
                   std::to_string(self.m_term) + "." + std::to_string(applied(self)) + "\r\n";
        };
        for (;;) {
            const std::size_t end = in.find("\r\n", scanned);
            if (end == std::string::npos) {
                scanned = in.empty() ? 0 : in.size() - 1;
                const ssize_t got = recv(fd, chunk.data(), chunk.size(), 0);
                if (got <= 0) {
                    return;
                }
                in.append(chunk.data(), static_cast<std::size_t>(got));
                continue;
            }
            const std::string line = in.substr(0, end);
            in.erase(0, end + 2);
            scanned = 0;
            std::istringstream words(line);
            std::string kind;
            words >> kind;
            if (kind == "START" && !started) {
                std::string name;
                std::string who;
                std::string expected;
                words >> name >> who >> expected;
                if (name != m_options.m_name || (!expected.empty() && expected != id_of(number))) {
                    send_all(fd, "ERROR MISROUTED " + id_of(number) + "\r\n");
                    return;
                }
                std::this_thread::sleep_for(milliseconds{12});
                started = true;
                if (!send_all(fd, ready())) {
                    return;
                }
                continue;
            }
            std::string id;
            words >> id;
            if (kind != "QUERY" || !started || id.empty()) {
                return;
            }
            const std::string text = line.substr(std::min(line.size(), kind.size() + id.size() + 2));
            if (!send_all(fd, run(number, id, text, open) + ready())) {
                return;
            }
        }
    }

    /// Waits for a slot and holds it for `work`. False: too many wait already.
    bool use_slot(node& self, milliseconds work) {
        std::unique_lock guard(m_lock);
        if (self.m_waiting.size() >= m_options.m_queue) {
            return false;
        }
        const std::uint64_t ticket = ++m_tickets;
        self.m_waiting.push_back(ticket);
        self.m_slot_freed.wait(
            guard, [&] { return self.m_running < m_options.m_slots && self.m_waiting.front() == ticket; });
        self.m_waiting.erase(self.m_waiting.begin());
        ++self.m_running;
        guard.unlock();
        self.m_slot_freed.notify_all();
        std::this_thread::sleep_for(work);
        guard.lock();
        --self.m_running;
        guard.unlock();
        self.m_slot_freed.notify_all();
        return true;
    }

    std::string run(std::size_t number, const std::string& id, const std::string& text, session& open) {
        node& self = *m_nodes[number];
        const std::string done = "COMPLETE -\r\n";
        std::string rest = text;
        const auto word = [&rest] {
            const std::size_t end = std::min(rest.find(' '), rest.size());
            std::string first = rest.substr(0, end);
            rest.erase(0, std::min(end + 1, rest.size()));
            return first;
        };
        std::string command = word();
        std::string statement = text;
        if (command == "AFTER") {
            const std::string position = word();
            const std::size_t dot = position.find('.');
            const std::uint64_t term = std::stoull(position.substr(0, dot));
            const std::size_t offset = std::stoull(position.substr(dot + 1));
            statement = rest;
            command = word();
            const std::lock_guard guard(m_lock);
            if (self.m_term < term || applied(self) < offset) {
                return "ERROR LAGGING " + id_of(number) + "\r\n";
            }
        }
        if (command == "STATUS") {
            if (!use_slot(self, milliseconds{0})) {
                return "ERROR BUSY " + id_of(number) + "\r\n";
            }
            const std::lock_guard guard(m_lock);
            return "ROW " + std::string(self.m_is_primary ? "primary" : "replica") + " " +
                   std::to_string(self.m_term) + " " + std::to_string(self.m_term) + "." +
                   std::to_string(self.m_log.size()) + " 0 0 " + std::to_string(self.m_running) + " " +
                   std::to_string(self.m_connections.size()) + "\r\n" + done;
        }
        if (command == "DEMOTE") {
            const std::lock_guard guard(m_lock);
            self.m_is_primary = self.m_is_primary && std::stoull(rest) <= self.m_term;
            return done;
        }
        if (command == "BEGIN") {
            const std::lock_guard guard(m_lock);
            if (rest.empty() && !self.m_is_primary) {
                return "ERROR READONLY " + id_of(number) + "\r\n";
            }
            open.m_in_transaction = true;
            open.m_wrote = false;
            return done;
        }
        if (command == "ROLLBACK") {
            open.m_in_transaction = false;
            return done;
        }
        if (command == "RESET") {
            open.m_prepared.clear();
            return done;
        }
        if (command == "PREPARE") {
            const std::string name = word();
            const std::string access = word();
            open.m_prepared[name] = {access, rest};
            return done;
        }
        if (command == "SET") {
            return done;
        }
        if (command == "EXECUTE") {
            const auto known = open.m_prepared.find(word());
            if (known == open.m_prepared.end()) {
                return "ERROR NOSTMT " + id_of(number) + "\r\n";
            }
            command = known->second.first;
        }
        if (!use_slot(self, m_options.m_work)) {
            return "ERROR BUSY " + id_of(number) + "\r\n";
        }
        const bool is_commit = command == "COMMIT";
        bool is_received = true;
        {
            const std::lock_guard guard(m_lock);
            if (self.m_is_down) {
                return {};
            }
            if ((command == "WRITE" || (is_commit && open.m_wrote)) && !self.m_is_primary) {
                return "ERROR READONLY " + id_of(number) + "\r\n";
            }
            if ((command == "WRITE" && !open.m_in_transaction) || (is_commit && open.m_wrote)) {
                is_received = append(self, id) >= m_options.m_sync_replicas;
            }
        }
        if (!is_received) {
            std::this_thread::sleep_for(milliseconds{1000});
            return "ERROR TIMEOUT " + id_of(number) + "\r\n";
        }
        open.m_wrote = open.m_wrote || command == "WRITE";
        if (is_commit) {
            open.m_in_transaction = false;
        }
        if (m_told.m_on_run) {
            m_told.m_on_run({.m_backend = id_of(number), .m_id = id, .m_text = statement});
        }
        const std::string proof = "COMPLETE p." + std::to_string(++m_proofs) + "\r\n";
        if (command != "READ") {
            return proof;
        }
        std::string answer;
        for (int row = 0; row < m_options.m_rows; ++row) {
            answer.append("ROW ").append(m_options.m_row_bytes, 'v').append("\r\n");
        }
        return answer + proof;
    }

    options m_options;
    std::vector<address> m_addresses;
    observers m_told;
    mutable std::mutex m_lock;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::uint64_t m_tickets{0};
    std::atomic<std::uint64_t> m_proofs{0};
};

/// Fills in a settings template as the platform does: {{name}} and sections of truth values.
inline std::string render(const std::string& text, const std::map<std::string, std::string>& values) {
    std::string out;
    std::size_t at = 0;
    std::vector<bool> shown{true};
    while (at < text.size()) {
        const std::size_t open = text.find("{{", at);
        if (shown.back()) {
            out += text.substr(at, open == std::string::npos ? std::string::npos : open - at);
        }
        if (open == std::string::npos) {
            break;
        }
        const std::size_t close = text.find("}}", open);
        const std::string name = text.substr(open + 2, close - open - 2);
        at = close + 2;
        const auto found = values.find(name.substr(name.starts_with("#") || name.starts_with("/") ? 1 : 0));
        if (name.starts_with("#")) {
            shown.push_back(shown.back() && found != values.end() && !found->second.empty());
        } else if (name.starts_with("/")) {
            shown.pop_back();
        } else if (shown.back() && found != values.end()) {
            out += found->second;
        }
    }
    return out;
}

struct site_options {
    std::string m_root{};      ///< Of the repository.
    std::string m_directory{}; ///< For settings files and logs.
    int m_gateways{2};
    int m_memory_mb{260};
    int m_descriptors{4300};
    int m_max_connections{21};
    service::options m_service{};
};

/// A gateway process and the machine that it runs on.
struct machine {
    std::string m_name{};
    address m_callers{};
    address m_readiness{};
    pid_t m_process{-1};
    int m_kills_for_memory{0};
    int m_own_ends{0};
    int m_starts{0};
    long m_peak_kb{0};
    std::optional<steady::time_point> m_start_at{};
};

/// The deployment. Values are those of a small deployment's sheet: 260 MB and 4,300 descriptors a machine,
/// 3 slots and 21 connections a backend.
class small_site {
public:
    small_site(site_options chosen, record_file& record) : m_options(std::move(chosen)), m_record(record) {
        // Another loopback address each run, so that runs do not disturb one another.
        const unsigned seed =
            static_cast<unsigned>(getpid()) * 7919U + static_cast<unsigned>(time(nullptr));
        m_net = "127." + std::to_string(64 + seed % 120) + "." + std::to_string(seed / 120 % 250) + ".";
        m_platform = {.m_ip = m_net + "1", .m_port = 8783};
        m_store = std::make_unique<store>(m_platform, [this](const std::string& id) {
            const int status = m_service->promote(id);
            m_record.line("platform: POST /promote " + id + " -> " + std::to_string(status));
            return status;
        });
        json routes = json::array();
        const auto route = [&](const char* host, const char* type, int priority, int stale) {
            json out{{"name", std::string("r-") + host},
                     {"host", host},
                     {"prefix", "/"},
                     {"type", type},
                     {"timeoutMs", 1000},
                     {"targetLatencyMs", 400},
                     {"priority", priority},
                     {"service", "orders-db"},
                     {"maxAttempts", 2}};
            if (stale > 0) {
                out["maxStalenessMs"] = stale;
            }
            routes.push_back(out);
        };
        route("pay", "primary", 0, 0);
        route("scan", "read_your_writes", 1, 2500);
        route("look", "bounded_staleness", 2, 1500);
        const json configuration{{"version", 1},
                                 {"routes", routes},
                                 {"services",
                                  {{{"name", "orders-db"},
                                    {"maxConnections", m_options.m_max_connections},
                                    {"healthCheckPath", "/health"},
                                    {"syncReplicas", m_options.m_service.m_sync_replicas}}}},
                                 {"limits", {{"txIdleMs", 3000}}}};
        m_store->put("op", "config", configuration.dump());
        for (int number = 0; number < m_options.m_service.m_backends; ++number) {
            m_backends.push_back({.m_ip = m_net + std::to_string(100 + number), .m_port = 8080});
            register_backend(number, number == 0);
        }
        m_service = std::make_unique<service>(
            m_options.m_service, m_backends,
            service::observers{
                .m_on_role = [this](int number, bool is_primary) { register_backend(number, is_primary); },
                .m_on_promoted =
                    [this](int number, const std::vector<commit>& log) {
                        if (m_on_promoted) {
                            m_on_promoted(number, log);
                        }
                    }});
        for (int number = 0; number < m_options.m_gateways; ++number) {
            machine added;
            const std::string ip = m_net + std::to_string(10 + number);
            added.m_name = "frontend-gt-a-" + std::to_string(number + 1);
            added.m_callers = {.m_ip = ip, .m_port = 8784};
            added.m_readiness = {.m_ip = ip, .m_port = 8785};
            m_machines.push_back(added);
        }
        for (std::size_t number = 0; number < m_machines.size(); ++number) {
            start(number);
        }
    }

    /// Ends the gateways and this process. The threads of the stand-ins end with it.
    [[noreturn]] void finish(int exit_code) {
        for (machine& each : m_machines) {
            if (each.m_process > 0) {
                kill(each.m_process, SIGKILL);
                waitpid(each.m_process, nullptr, 0);
                each.m_process = -1;
            }
        }
        std::_Exit(exit_code);
    }

    small_site(const small_site&) = delete;
    small_site& operator=(const small_site&) = delete;

    [[nodiscard]] std::vector<machine>& machines() { return m_machines; }
    [[nodiscard]] service& backends() { return *m_service; }
    /// The primary reports that it drains. It goes on serving.
    void report_draining(int number) {
        m_draining.insert(number);
        register_backend(number, true);
    }
    void set_promotion_handler(std::function<void(int, const std::vector<commit>&)> handler) {
        m_on_promoted = std::move(handler);
    }
    [[nodiscard]] store& platform_store() { return *m_store; }

    /// Whether the machine answers the platform's question with 200.
    [[nodiscard]] bool is_ready(const machine& each) const {
        const int fd = connect_to(each.m_readiness);
        if (fd < 0) {
            return false;
        }
        const timeval limit{.tv_sec = 1, .tv_usec = 0};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        send_all(fd, "GET /anvilmount/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        std::array<char, 256> in{};
        const ssize_t got = recv(fd, in.data(), in.size() - 1, 0);
        ::close(fd);
        return got > 12 &&
               std::string(in.data(), static_cast<std::size_t>(got)).starts_with("HTTP/1.1 200");
    }

    bool wait_until_ready(milliseconds limit) {
        const auto until = steady::now() + limit;
        while (steady::now() < until) {
            if (std::all_of(m_machines.begin(), m_machines.end(),
                            [&](const machine& each) { return is_ready(each); })) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds{100});
        }
        return false;
    }

    static long resident_kb(pid_t process) {
        std::ifstream status("/proc/" + std::to_string(process) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:")) {
                return std::stol(line.substr(6));
            }
        }
        return 0;
    }

    /// The machines' part, to be called every few milliseconds: kills a process that exceeds the memory
    /// and starts a process that has ended again after a second.
    void watch() {
        for (std::size_t number = 0; number < m_machines.size(); ++number) {
            machine& each = m_machines[number];
            if (each.m_process > 0) {
                const long held = resident_kb(each.m_process);
                each.m_peak_kb = std::max(each.m_peak_kb, held);
                if (held > static_cast<long>(m_options.m_memory_mb) * 1024) {
                    ++each.m_kills_for_memory;
                    m_record.line("machine " + each.m_name + ": the process exceeds its memory, " +
                                  std::to_string(held) + " kB of " +
                                  std::to_string(m_options.m_memory_mb * 1024) + " kB; killed");
                    kill(each.m_process, SIGKILL);
                    waitpid(each.m_process, nullptr, 0);
                    each.m_process = -1;
                    each.m_start_at = steady::now() + milliseconds{1000};
                    continue;
                }
                int status = 0;
                if (waitpid(each.m_process, &status, WNOHANG) == each.m_process) {
                    ++each.m_own_ends;
                    m_record.line("machine " + each.m_name + ": the process ended by itself, " +
                                  (WIFSIGNALED(status)
                                       ? "signal " + std::to_string(WTERMSIG(status))
                                       : "exit code " + std::to_string(WEXITSTATUS(status))));
                    each.m_process = -1;
                    each.m_start_at = steady::now() + milliseconds{1000};
                }
            } else if (each.m_start_at && steady::now() >= *each.m_start_at) {
                each.m_start_at.reset();
                start(number);
            }
        }
    }

private:
    void register_backend(int number, bool is_primary) {
        m_store->put("servers", service::id_of(static_cast<std::size_t>(number)),
                     json{{"service", m_options.m_service.m_name},
                          {"address", m_backends[static_cast<std::size_t>(number)].text()},
                          {"zone", "gt-a"},
                          {"version", "v1"},
                          {"capacity", m_options.m_service.m_slots},
                          {"state", m_draining.contains(number) ? "draining" : "ready"},
                          {"coldRemainingMs", 0},
                          {"dbRole", is_primary ? "primary" : "replica"},
                          {"sequence", 1},
                          {"born", 1000}}
                         .dump());
    }

    void start(std::size_t number) {
        machine& each = m_machines[number];
        const std::string& ip = each.m_callers.m_ip;
        std::ifstream file(m_options.m_root + "/deploy/settings.template");
        std::stringstream text;
        text << file.rdbuf();
        const std::string settings =
            render(text.str(), {{"nodeName", each.m_name},
                                {"zone", "gt-a"},
                                {"ip", ip},
                                {"listenAddrs.frontend", each.m_callers.text()},
                                {"listenAddrs.ready", each.m_readiness.text()},
                                {"listenAddrs.controlPlane", ip + ":8782"},
                                {"internalPorts.0", "7440"},
                                {"seeds", m_machines.front().m_callers.m_ip + ":8782"},
                                {"platform.address", m_platform.text()},
                                {"cloudApi.address", m_platform.text()},
                                {"bounds.drainTimeoutMs", "7000"},
                                {"bounds.gracePeriodS", "6"},
                                {"limits.cpuShare", "0.25"},
                                {"limits.maxFds", std::to_string(m_options.m_descriptors)},
                                {"limits.memoryMb", std::to_string(m_options.m_memory_mb)}});
        const std::string base = m_options.m_directory + "/" + each.m_name;
        std::ofstream(base + ".settings") << settings;
        const std::string program = m_options.m_root + "/target/anvilmount-gateway";
        const std::string boot = "ANVILMOUNT_BOOT=" + base + ".settings";
        const std::string log = base + ".log";
        const pid_t child = fork();
        if (child == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, STDOUT_FILENO);
            dup2(out, STDERR_FILENO);
            if (chdir(m_options.m_root.c_str()) != 0) {
                _exit(126);
            }
            std::array<char*, 2> arguments{const_cast<char*>("target/anvilmount-gateway"), nullptr};
            std::array<char*, 5> environment{
                const_cast<char*>(boot.c_str()), const_cast<char*>("PATH=/usr/bin:/bin"),
                const_cast<char*>("HOME=/tmp"), const_cast<char*>("LANG=C.UTF-8"), nullptr};
            execve(program.c_str(), arguments.data(), environment.data());
            _exit(127);
        }
        each.m_process = child;
        ++each.m_starts;
        m_record.line("machine " + each.m_name + ": process started");
    }

    site_options m_options;
    record_file& m_record;
    std::string m_net;
    address m_platform;
    std::unique_ptr<store> m_store;
    std::vector<address> m_backends;
    std::set<int> m_draining;
    std::unique_ptr<service> m_service;
    std::function<void(int, const std::vector<commit>&)> m_on_promoted;
    std::vector<machine> m_machines;
};

/// A caller's connection.
class caller {
public:
    explicit caller(const address& where) : m_fd(connect_to(where)) {
        const timeval limit{.tv_sec = 5, .tv_usec = 0};
        setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }
    ~caller() {
        if (m_fd >= 0) {
            ::close(m_fd);
        }
    }
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    [[nodiscard]] bool is_open() const { return m_fd >= 0; }
    [[nodiscard]] int descriptor() const { return m_fd; }

    bool send(const std::string& text) { return m_fd >= 0 && send_all(m_fd, text); }

    /// Reads to the end of one answer: the line READY. Returns all its lines; nothing when the connection
    /// ended before.
    std::optional<std::string> answer() {
        std::string lines;
        for (;;) {
            const std::size_t end = m_in.find("\r\n");
            if (end != std::string::npos) {
                const std::string line = m_in.substr(0, end);
                m_in.erase(0, end + 2);
                lines += lines.empty() ? line : " | " + line;
                if (line.starts_with("READY ")) {
                    return lines;
                }
                continue;
            }
            std::array<char, 16384> chunk{};
            const ssize_t got = m_fd < 0 ? 0 : recv(m_fd, chunk.data(), chunk.size(), 0);
            if (got <= 0) {
                m_rest = lines;
                return std::nullopt;
            }
            m_in.append(chunk.data(), static_cast<std::size_t>(got));
        }
    }
    [[nodiscard]] const std::string& rest() const { return m_rest; }

    /// As answer(), but the rows are only counted.
    std::optional<std::string> answer_without_rows(int& rows) {
        std::string lines;
        std::array<char, 65536> chunk{};
        std::size_t at = 0;
        for (;;) {
            const std::size_t end = m_in.find("\r\n", at);
            if (end == std::string::npos) {
                m_in.erase(0, at);
                at = 0;
                const ssize_t got = m_fd < 0 ? 0 : recv(m_fd, chunk.data(), chunk.size(), 0);
                if (got <= 0) {
                    m_rest = lines;
                    return std::nullopt;
                }
                m_in.append(chunk.data(), static_cast<std::size_t>(got));
                continue;
            }
            const bool is_row = m_in.compare(at, 4, "ROW ") == 0;
            const std::string line = is_row ? std::string{} : m_in.substr(at, end - at);
            at = end + 2;
            if (is_row) {
                ++rows;
                continue;
            }
            lines += lines.empty() ? line : " | " + line;
            if (line.starts_with("READY ")) {
                m_in.erase(0, at);
                return lines;
            }
        }
    }

private:
    int m_fd;
    std::string m_in;
    std::string m_rest;
};

}
