/// \file upstream_server.cpp
/// Implements the slots, the role changes and the SQL functions of the upstream.
#include "upstream/upstream_server.hpp"

#include "upstream/upstream_session.hpp"

#include <nlohmann/json.hpp>

#include <charconv>

namespace standin {
namespace {

using namespace anvilmount;

constexpr std::size_t max_entries_per_fetch = 500;

std::uint64_t number_at(const std::vector<sql_value>& values, std::size_t index) {
    std::uint64_t number = 0;
    if (index < values.size() && values[index]) {
        const std::string& text = *values[index];
        std::from_chars(text.data(), text.data() + text.size(), number);
    }
    return number;
}

std::string text_at(const std::vector<sql_value>& values, std::size_t index) {
    return index < values.size() ? values[index].value_or("") : "";
}

result_set one_value(const std::string& name, const std::string& value) {
    return {.m_columns = {{.m_name = name, .m_type = "text"}}, .m_rows = {{value}}, .m_tag = "SELECT 1"};
}

}

upstream_server::upstream_server(reactor& loop, upstream_options options)
    : m_reactor(loop), m_options(std::move(options)), m_is_primary(m_options.m_primary) {
    if (m_is_primary) {
        m_data.start_term(m_term);
    }
}

upstream_server::~upstream_server() = default;

result<void> upstream_server::start() {
    BOOST_LEAF_ASSIGN(m_listener,
                      tcp_listener::listen(m_reactor, m_options.m_listen, [this](int fd) { accept(fd); }));
    if (m_options.m_follow) {
        start_following(*m_options.m_follow);
    }
    return {};
}

void upstream_server::accept(int fd) {
    const bool at_limit = static_cast<int>(m_sessions.size()) >= m_options.m_connection_limit;
    m_refused_connections += at_limit ? 1 : 0;
    const auto session = std::make_shared<upstream_session>(*this, m_next_process++, at_limit);
    m_sessions.insert(session);
    session->start(fd);
    if (!at_limit) {
        m_peak_sessions = std::max(m_peak_sessions, static_cast<int>(m_sessions.size()));
    }
}

void upstream_server::remove(upstream_session* session) {
    m_reactor.defer([this, session] {
        std::erase_if(m_sessions, [&](const auto& each) { return each.get() == session; });
    });
}

void upstream_server::cancel(const backend_key& key) {
    for (const auto& session : m_sessions) {
        if (session->key() == key) {
            session->cancel();
            return;
        }
    }
}

void upstream_server::acquire_slot(std::function<void()> work) {
    const int slots = m_options.m_slots > 0 ? m_options.m_slots : m_options.m_connection_limit;
    if (m_running_statements < slots) {
        ++m_running_statements;
        work();
        return;
    }
    m_waiting_for_slot.push_back(std::move(work));
}

void upstream_server::release_slot() {
    if (m_waiting_for_slot.empty()) {
        --m_running_statements;
        return;
    }
    auto work = std::move(m_waiting_for_slot.front());
    m_waiting_for_slot.pop_front();
    m_reactor.defer(std::move(work));
}

void upstream_server::notify_unlocked() {
    std::vector<std::function<void()>> callbacks;
    callbacks.swap(m_waiting_for_unlock);
    for (auto& each : callbacks) {
        m_reactor.defer(std::move(each));
    }
}

std::variant<result_set, sql_error> upstream_server::call(const std::string& name,
                                                          const arguments& values) {
    if (name == "group_state") {
        return group_state();
    }
    if (name == "log_since") {
        return log_since(values);
    }
    if (name == "raise_term") {
        return raise_term(values);
    }
    if (name == "promote") {
        return promote(values);
    }
    if (name == "follow") {
        return follow(values);
    }
    if (name == "hold_writes") {
        return hold_writes(values);
    }
    if (name == "standin_control") {
        return control(values);
    }
    if (name == "generate_series") {
        result_set series{
            .m_columns = {{.m_name = "generate_series", .m_type = "int"}}, .m_rows = {}, .m_tag = {}};
        for (std::uint64_t value = number_at(values, 0); value <= number_at(values, 1); ++value) {
            series.m_rows.push_back({std::to_string(value)});
        }
        series.m_tag = "SELECT " + std::to_string(series.m_rows.size());
        return series;
    }
    if (name == "repeat") {
        std::string text;
        for (std::uint64_t count = 0; count < number_at(values, 1); ++count) {
            text += text_at(values, 0);
        }
        return one_value("repeat", text);
    }
    if (name == "upstream_name") {
        return one_value("upstream_name", m_options.m_name);
    }
    return sql_error{.m_sqlstate = "42883", .m_message = "function " + name + "() does not exist"};
}

/// Returns one row. The columns keep this order and new ones are only added at the
/// end: role, term, position, following, stream, leaving, followers, history, then
/// counters for tests.
upstream_server::answer upstream_server::group_state() const {
    nlohmann::json followers = nlohmann::json::object();
    for (const auto& [name, state] : m_followers) {
        followers[name] = {to_string(state.m_acknowledged_position), state.m_fetches};
    }
    nlohmann::json history = nlohmann::json::array();
    for (const log_entry& entry : m_data.term_starts()) {
        history.push_back({entry.m_position.m_term, entry.m_position.m_offset});
    }
    const auto text = [](const char* name) { return sql_column{.m_name = name, .m_type = "text"}; };
    return result_set{
        .m_columns = {text("role"), text("term"), text("position"), text("following"), text("stream"),
                      text("leaving"), text("followers"), text("history"), text("connections"),
                      text("greatest_connections"), text("refused_connections")},
        .m_rows = {{m_is_primary ? "primary" : "replica", std::to_string(m_term),
                    to_string(m_data.position()), m_followed_primary ? to_string(*m_followed_primary) : "",
                    m_follower && m_follower->is_receiving() ? "works" : "broken",
                    m_leaving ? "true" : "false", followers.dump(), history.dump(),
                    std::to_string(m_sessions.size()), std::to_string(m_peak_sessions),
                    std::to_string(m_refused_connections)}},
        .m_tag = "SELECT 1"};
}

/// log_since(offset, term of that entry, follower's term, follower's name): returns
/// the entries after `offset` and records `offset` as acknowledged by the follower.
upstream_server::answer upstream_server::log_since(const arguments& values) {
    const std::uint64_t offset = number_at(values, 0);
    const std::uint64_t entry_term = number_at(values, 1);
    if (m_replication_cut || !m_is_primary || number_at(values, 2) != m_term) {
        return sql_error{.m_sqlstate = "XX001",
                         .m_message = "this upstream does not lead the follower's term"};
    }
    const std::vector<log_entry>& log = m_data.log();
    const bool is_prefix =
        offset == 0 || (offset <= log.size() && log[offset - 1].m_position.m_term == entry_term);
    if (!is_prefix) {
        return sql_error{.m_sqlstate = "XX002",
                         .m_message = "the follower's history is not this upstream's"};
    }
    follower_state& follower = m_followers[text_at(values, 3)];
    follower.m_acknowledged_position = {.m_term = entry_term, .m_offset = offset};
    ++follower.m_fetches;
    result_set entries{.m_columns = {{.m_name = "log_offset", .m_type = "bigint"},
                                     {.m_name = "term", .m_type = "bigint"},
                                     {.m_name = "changes", .m_type = "text"}},
                       .m_rows = {},
                       .m_tag = "SELECT"};
    for (std::size_t index = offset; index < log.size() && entries.m_rows.size() < max_entries_per_fetch;
         ++index) {
        entries.m_rows.push_back({std::to_string(log[index].m_position.m_offset),
                                  std::to_string(log[index].m_position.m_term), log[index].m_changes});
    }
    return entries;
}

/// raise_term(term): gives up the current role; the upstream takes part in no lower
/// term from now on.
upstream_server::answer upstream_server::raise_term(const arguments& values) {
    const std::uint64_t requested_term = number_at(values, 0);
    if (requested_term <= m_term) {
        return sql_error{.m_sqlstate = "XX003",
                         .m_message = "term is " + std::to_string(m_term) + " already"};
    }
    enter_term(requested_term);
    return one_value("position", to_string(m_data.position()));
}

void upstream_server::enter_term(std::uint64_t next_term) {
    if (m_follower) {
        m_follower->apply_pending();
    }
    m_term = next_term;
    m_is_primary = false;
    m_writes_held = false;
    m_followers.clear();
    m_follower.reset();
    m_followed_primary.reset();
    notify_unlocked();
}

/// hold_writes(term): new writes wait until the term changes or a second has passed.
upstream_server::answer upstream_server::hold_writes(const arguments& values) {
    if (!m_is_primary || number_at(values, 0) != m_term) {
        return sql_error{.m_sqlstate = "XX003", .m_message = "term is " + std::to_string(m_term)};
    }
    constexpr milliseconds max_hold_time{1000};
    m_writes_held = true;
    m_reactor.after(max_hold_time, [this] {
        m_writes_held = false;
        notify_unlocked();
    });
    return one_value("position", to_string(m_data.position()));
}

/// promote(term): becomes primary of the term that raise_term() has set.
upstream_server::answer upstream_server::promote(const arguments& values) {
    if (number_at(values, 0) != m_term || m_followed_primary) {
        return sql_error{.m_sqlstate = "XX003", .m_message = "term is " + std::to_string(m_term)};
    }
    if (!m_is_primary) {
        m_is_primary = true;
        m_data.start_term(m_term);
    }
    return one_value("position", to_string(m_data.position()));
}

/// follow(address, term): replicates from the primary of that term.
upstream_server::answer upstream_server::follow(const arguments& values) {
    const std::uint64_t requested_term = number_at(values, 1);
    const auto address = value_or_failure([&] { return parse_endpoint(text_at(values, 0)); });
    if (requested_term < m_term || address.index() != 0) {
        return sql_error{.m_sqlstate = "XX003", .m_message = "term is " + std::to_string(m_term)};
    }
    enter_term(requested_term);
    start_following(std::get<0>(address));
    return one_value("following", text_at(values, 0));
}

void upstream_server::start_following(const endpoint& primary) {
    m_followed_primary = primary;
    m_follower.reset();
    if (m_replication_cut) {
        return;
    }
    m_follower = std::make_unique<log_follower>(
        m_reactor, log_follower_options{.m_primary = primary,
                                        .m_name = m_options.m_name,
                                        .m_term = m_term,
                                        .m_applied_position = [this] { return m_data.position(); },
                                        .m_lag = [this] { return m_options.m_lag; },
                                        .m_apply =
                                            [this](const log_entry& entry) {
                                                m_data.apply(entry);
                                                notify_unlocked();
                                            },
                                        .m_on_diverged = [this] { m_data.clear(); }});
}

/// standin_control(option, value): sets a fault or an option.
upstream_server::answer upstream_server::control(const arguments& values) {
    const std::string option = text_at(values, 0);
    const std::string value = text_at(values, 1);
    const bool enabled = value == "on";
    const auto number = static_cast<int>(number_at(values, 1));
    if (option == "lag_ms") {
        m_options.m_lag = milliseconds{number};
    } else if (option == "service_us") {
        m_options.m_service_time = microseconds{number};
    } else if (option == "connect_ms") {
        m_options.m_connect_time = milliseconds{number};
    } else if (option == "leaving") {
        m_leaving = enabled;
    } else if (option == "cut") {
        m_replication_cut = enabled;
        if (enabled) {
            m_follower.reset();
        } else if (m_followed_primary) {
            start_following(*m_followed_primary);
        }
    } else {
        return sql_error{.m_sqlstate = "22023",
                         .m_message = "standin_control does not know '" + option + "'"};
    }
    return one_value(option, value);
}

}
