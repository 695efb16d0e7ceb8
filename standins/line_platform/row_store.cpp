/// \file row_store.cpp
/// HTTP interface and rows of the stand-in metadata store. Watches are answered on
/// each change and checked at a fixed interval for their deadline.
#include "line_platform/row_store.hpp"

#include <QByteArray>
#include <QUrl>
#include <QUrlQuery>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

namespace standin {
namespace {

using namespace anvilmount;
using nlohmann::json;
namespace beast = boost::beast::http;

constexpr milliseconds response_time{4};
constexpr milliseconds watch_poll_interval{20};
constexpr milliseconds min_late_time{1000};
constexpr milliseconds max_late_time{6000};
constexpr std::size_t max_history = 4000;

constexpr milliseconds backup_interval{250};
constexpr std::size_t max_backups = 48;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_condition_failed = 412;
constexpr int status_unavailable = 503;

std::string base64(const std::string& text) {
    return QByteArray::fromStdString(text).toBase64().toStdString();
}

std::uint64_t parse_number(const std::map<std::string, std::string>& fields, const std::string& name) {
    const auto found = fields.find(name);
    return found == fields.end() || found->second.empty() ? 0 : std::stoull(found->second);
}

}

struct row_store::connection {
    std::shared_ptr<tcp_stream> m_stream;
    std::unique_ptr<beast::request_parser<beast::string_body>> m_parser;
    std::string m_input;

    void reset_parser() {
        m_parser = std::make_unique<beast::request_parser<beast::string_body>>();
        m_parser->eager(true);
    }
};

result<void> row_store::listen(const endpoint& address) {
    BOOST_LEAF_ASSIGN(m_listener, tcp_listener::listen(m_loop, address, [this](int fd) { accept(fd); }));
    answer_watches_periodically();
    back_up_periodically();
    return {};
}

void row_store::back_up_periodically() {
    m_backups.push_back({.m_taken_at = reactor::now(),
                         .m_rows = m_rows,
                         .m_history = m_history,
                         .m_version = m_version,
                         .m_oldest_version = m_oldest_version});
    if (m_backups.size() > max_backups) {
        m_backups.pop_front();
    }
    m_loop.after(backup_interval, [this] { back_up_periodically(); });
}

void row_store::restore(milliseconds age) {
    while (m_backups.size() > 1 && m_backups.back().m_taken_at + age > reactor::now()) {
        m_backups.pop_back();
    }
    const backup& earlier = m_backups.back();
    m_rows = earlier.m_rows;
    m_history = earlier.m_history;
    m_version = earlier.m_version;
    m_oldest_version = earlier.m_oldest_version;
    ++m_era;
    answer_watches();
}

void row_store::accept(int fd) {
    const auto accepted = std::make_shared<connection>();
    accepted->reset_parser();
    const std::weak_ptr<connection> weak = accepted;
    const auto on_bytes = [this, weak](std::string_view bytes) {
        const auto open = weak.lock();
        if (!open) {
            return;
        }
        open->m_input.append(bytes);
        while (!open->m_input.empty()) {
            boost::system::error_code error;
            const std::size_t used = open->m_parser->put(boost::asio::buffer(open->m_input), error);
            open->m_input.erase(0, used);
            if (error || !open->m_parser->is_done()) {
                return;
            }
            const auto message = open->m_parser->release();
            open->reset_parser();
            std::map<std::string, std::string> headers;
            for (const auto& each : message) {
                headers[std::string(each.name_string())] = std::string(each.value());
            }
            handle_request(open, std::string(message.method_string()), std::string(message.target()),
                           headers, message.body());
        }
    };
    accepted->m_stream =
        tcp_stream::adopt(m_loop, fd, {.m_on_bytes = on_bytes, .m_on_closed = [this, weak](close_reason) {
                                           m_loop.defer([this, weak] {
                                               if (const auto open = weak.lock()) {
                                                   m_connections.erase(open);
                                               }
                                           });
                                       }});
    m_connections.insert(accepted);
}

void row_store::handle_request(const connection_ptr& conn, const std::string& method,
                               const std::string& target, const std::map<std::string, std::string>& headers,
                               const std::string& body) {
    if (m_faults.m_silent) {
        return;
    }
    m_loop.after(response_time * m_faults.m_slowdown_factor, [this, conn, method, target, headers, body] {
        if (m_faults.m_silent) {
            return;
        }
        if (m_faults.m_refuses) {
            send(conn, {.m_status = status_unavailable, .m_body = {{"error", "unavailable"}}});
            return;
        }
        const QUrl url(QString::fromStdString(target));
        std::map<std::string, std::string> query;
        for (const auto& [name, value] : QUrlQuery(url).queryItems(QUrl::FullyDecoded)) {
            query[name.toStdString()] = value.toStdString();
        }
        const std::string path = url.path().toStdString();
        if (path == "/anvilmount/rows-get") {
            send(conn, read_rows(query));
        } else if (path == "/anvilmount/rows-tx" &&
                   std::bernoulli_distribution(m_faults.m_late_rate)(m_random)) {
            const milliseconds delay{std::uniform_int_distribution<std::int64_t>(
                min_late_time.count(), max_late_time.count())(m_random)};
            m_loop.after(delay, [this, body] { static_cast<void>(change_rows(body)); });
            conn->m_stream->close();
        } else if (path == "/anvilmount/rows-tx") {
            const reply answer = change_rows(body);
            std::bernoulli_distribution loss(m_faults.m_answer_loss_rate);
            if (loss(m_random)) {
                conn->m_stream->close();
                return;
            }
            send(conn, answer);
        } else if (path == "/anvilmount/rows-feed") {
            m_watches.push_back({.m_connection = conn,
                                 .m_table = query["table"],
                                 .m_after_version = parse_number(query, "after"),
                                 .m_deadline = reactor::now() + milliseconds{static_cast<long>(
                                                                    parse_number(query, "waitMs"))}});
            answer_watches();
        } else if (path == "/promote" && method == "POST") {
            send(conn, promote(headers, body));
        } else {
            send(conn, {.m_status = status_not_found, .m_body = json::object()});
        }
    });
}

void row_store::send(const connection_ptr& conn, const reply& response) {
    const std::string body = response.m_body.dump();
    conn->m_stream->write("HTTP/1.1 " + std::to_string(response.m_status) + " Standin\r\nStore-Era: " +
                          std::to_string(m_era) + "\r\nContent-Type: application/json\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body);
}

json row_store::encode_row(const row_key& key) const {
    json encoded{{"table", key.first}, {"part", ""}, {"key", key.second}};
    const auto found = m_rows.find(key);
    if (found != m_rows.end()) {
        encoded["value"] = found->second.m_value;
        encoded["ver"] = found->second.m_version;
    }
    return encoded;
}

row_store::reply row_store::read_rows(const std::map<std::string, std::string>& query) const {
    json rows = json::array();
    const std::string table = query.at("table");
    const auto from = query.find("from");
    const std::uint64_t limit = parse_number(query, "limit");
    bool more = false;
    for (auto each = m_rows.lower_bound({table, from == query.end() ? std::string{} : from->second});
         each != m_rows.end() && each->first.first == table; ++each) {
        if (limit > 0 && rows.size() >= limit) {
            more = true;
            break;
        }
        rows.push_back(encode_row(each->first));
    }
    return {.m_status = status_ok, .m_body = {{"rows", rows}, {"ver", m_version}, {"hasMore", more}}};
}

row_store::reply row_store::change_rows(const std::string& body) {
    const json request = json::parse(body, nullptr, false);
    if (!request.is_object()) {
        return {.m_status = status_bad_request, .m_body = json::object()};
    }
    json current = json::array();
    bool conditions_hold = true;
    for (const json& each : request.value("expectedRevision", json::array())) {
        const row_key key{each.at("table"), each.at("key")};
        const auto found = m_rows.find(key);
        const std::uint64_t version = found == m_rows.end() ? 0 : found->second.m_version;
        conditions_hold = conditions_hold && version == each.at("ver").get<std::uint64_t>();
        if (found != m_rows.end()) {
            current.push_back(encode_row(key));
        }
    }
    if (!conditions_hold) {
        return {.m_status = status_condition_failed, .m_body = {{"rows", current}, {"ver", m_version}}};
    }
    const json writes = request.value("writes", json::array());
    for (const json& each : writes) {
        if (each.at("table") == "op" || each.at("table") == "servers") {
            return {.m_status = status_forbidden, .m_body = json::object()};
        }
    }
    ++m_version;
    for (const json& each : writes) {
        const std::string value = each.at("value").get<std::string>();
        write_row({each.at("table"), each.at("key")}, value, m_version);
        if (m_on_write) {
            m_on_write(each.at("table"), each.at("key"),
                       QByteArray::fromBase64(QByteArray::fromStdString(value)).toStdString());
        }
    }
    for (const json& each : request.value("remove", json::array())) {
        write_row({each.at("table"), each.at("key")}, std::nullopt, m_version);
    }
    answer_watches();
    return {.m_status = status_ok, .m_body = {{"ver", m_version}}};
}

row_store::reply row_store::promote(const std::map<std::string, std::string>& headers,
                                    const std::string& body) {
    const json request = json::parse(body, nullptr, false);
    const auto holder = headers.find("X-Duty-Holder");
    if (!request.is_object() || holder == headers.end()) {
        return {.m_status = status_bad_request, .m_body = json::object()};
    }
    const bool runs = m_on_promotion({.m_group = request.value("service", std::string{}),
                                      .m_candidate = request.value("id", std::string{}),
                                      .m_holder = holder->second,
                                      .m_token = parse_number(headers, "X-Fencing-Token")});
    return {.m_status = runs ? status_ok : status_conflict, .m_body = json::object()};
}

void row_store::write_row(const row_key& key, const std::optional<std::string>& value,
                          std::uint64_t version) {
    if (value) {
        m_rows[key] = {.m_value = *value, .m_version = version};
    } else if (m_rows.erase(key) == 0) {
        return;
    }
    m_history.push_back({.m_version = version, .m_key = key, .m_removed = !value});
    while (m_history.size() > max_history) {
        m_oldest_version = m_history.front().m_version;
        m_history.pop_front();
    }
}

void row_store::put(const std::string& table, const std::string& key, const std::string& value) {
    write_row({table, key}, base64(value), ++m_version);
    answer_watches();
}

void row_store::drop(const std::string& table, const std::string& key) {
    write_row({table, key}, std::nullopt, ++m_version);
    answer_watches();
}

void row_store::forget_history() {
    m_history.clear();
    m_oldest_version = m_version + 1;
    ++m_version;
}

/// Returns the changes to the table after a version, 410 if the history does not reach
/// back to that version or the store does not have it, or nothing if there are no changes.
std::optional<row_store::reply> row_store::changes_since(const std::string& table,
                                                         std::uint64_t after_version) const {
    if ((after_version < m_oldest_version && m_oldest_version > 1) || after_version > m_version) {
        return reply{.m_status = status_gone, .m_body = json::object()};
    }
    std::map<row_key, const change*> newest;
    for (const change& each : m_history) {
        if (each.m_version > after_version && each.m_key.first == table) {
            newest[each.m_key] = &each;
        }
    }
    if (newest.empty()) {
        return std::nullopt;
    }
    json rows = json::array();
    for (const auto& [key, each] : newest) {
        json encoded = encode_row(key);
        if (each->m_removed) {
            encoded["removed"] = true;
            encoded["ver"] = each->m_version;
        }
        rows.push_back(encoded);
    }
    return reply{.m_status = status_ok, .m_body = {{"rows", rows}, {"ver", m_version}}};
}

void row_store::answer_watches() {
    for (auto each = m_watches.begin(); each != m_watches.end();) {
        const auto open = each->m_connection.lock();
        const bool is_closed = !open || !open->m_stream->is_open();
        if (!is_closed && (m_faults.m_silent || m_faults.m_refuses)) {
            ++each; // Stays pending until the fault ends.
            continue;
        }
        auto answer = is_closed ? std::nullopt : changes_since(each->m_table, each->m_after_version);
        if (!answer && !is_closed && reactor::now() >= each->m_deadline) {
            answer = reply{.m_status = status_ok, .m_body = {{"rows", json::array()}, {"ver", m_version}}};
        }
        if (answer) {
            send(open, *answer);
        }
        each = is_closed || answer ? m_watches.erase(each) : std::next(each);
    }
}

void row_store::answer_watches_periodically() {
    answer_watches();
    m_loop.after(watch_poll_interval, [this] { answer_watches_periodically(); });
}

}
