/// \file upstream_session.cpp
/// A statement takes a slot for its service time and then executes; if it meets a row
/// lock, it is executed again when a transaction has ended.
#include "upstream/upstream_session.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>

namespace standin {
namespace {

using namespace anvilmount;

constexpr milliseconds lock_timeout{2000};
constexpr milliseconds cancel_poll_interval{5};
constexpr std::int32_t type_int8 = 20;
constexpr std::int32_t type_int4 = 23;
constexpr std::int32_t type_text = 25;
constexpr std::uint32_t secret_factor = 2654435761U;

std::int32_t type_oid(const std::string& name) {
    if (name == "int" || name == "integer" || name == "int4" || name == "serial") {
        return type_int4;
    }
    return name == "bigint" || name == "int8" ? type_int8 : type_text;
}

std::vector<pg_column> to_pg_columns(const std::vector<sql_column>& columns) {
    std::vector<pg_column> described;
    for (const sql_column& column : columns) {
        described.push_back({.m_name = column.m_name, .m_type = type_oid(column.m_type)});
    }
    return described;
}

bool is_transaction_control(const sql_statement& statement) {
    return statement.m_type == statement_type::begin || statement.m_type == statement_type::commit ||
           statement.m_type == statement_type::rollback;
}

/// Returns whether the statement calls a function that manages the group. These
/// functions use neither a slot nor service time.
bool is_group_function(const sql_statement& statement) {
    constexpr std::array<std::string_view, 7> names{
        "group_state", "log_since", "raise_term", "promote", "follow", "hold_writes", "standin_control"};
    return statement.m_type == statement_type::call &&
           std::find(names.begin(), names.end(), statement.m_name) != names.end();
}

bool is_write(const sql_statement& statement) {
    switch (statement.m_type) {
    case statement_type::create_table:
    case statement_type::drop_table:
    case statement_type::insert_rows:
    case statement_type::update_rows:
    case statement_type::delete_rows:
        return true;
    default:
        return statement.m_for_update;
    }
}

sql_error aborted_error() {
    return {.m_sqlstate = "25P02",
            .m_message = "current transaction is aborted, commands ignored until end of transaction block"};
}

sql_error read_only_error() {
    return {.m_sqlstate = "25006", .m_message = "cannot execute this statement in a read-only transaction"};
}

sql_error cancelled_error() {
    return {.m_sqlstate = "57014", .m_message = "canceling statement due to user request"};
}

result_set values_result(const sql_statement& statement, const std::vector<sql_value>& parameters) {
    result_set result;
    table_row row;
    for (const sql_expression& expression : statement.m_rows.front()) {
        result.m_columns.push_back(
            {.m_name = "?column?", .m_type = expression.m_is_number ? "int" : "text"});
        row.push_back(evaluate(expression, parameters));
    }
    result.m_rows = {row};
    result.m_tag = "SELECT 1";
    return result;
}

}

upstream_session::upstream_session(upstream_server& server, std::uint32_t process, bool is_over_limit)
    : m_server(server), m_key{.m_process_id = process, .m_secret = process * secret_factor},
      m_is_over_limit(is_over_limit), m_input(max_frontend_message_size) {}

void upstream_session::start(int fd) {
    m_stream = tcp_stream::adopt(m_server.loop(), fd,
                                 {.m_on_connected = {},
                                  .m_on_bytes = [this](std::string_view bytes) { on_bytes(bytes); },
                                  .m_on_drained = {},
                                  .m_on_closed = [this](close_reason) { close(); }});
}

void upstream_session::close() {
    if (m_stage == stage::closed) {
        return;
    }
    m_stage = stage::closed;
    m_stream->close();
    end_transaction(false);
    m_server.remove(this);
}

void upstream_session::on_bytes(std::string_view bytes) {
    m_input.append(bytes);
    process_input();
}

void upstream_session::process_input() {
    const auto failed = failure_of([&]() -> result<void> {
        while (m_stage == stage::startup) {
            if (!process_startup()) {
                return {};
            }
        }
        while (m_stage == stage::open && !m_busy) {
            BOOST_LEAF_AUTO(message, m_input.next());
            if (!message) {
                return {};
            }
            handle_message(*message);
        }
        return {};
    });
    if (failed) {
        close();
    }
}

bool upstream_session::process_startup() {
    const auto packet = value_or_failure([&] { return m_input.next_startup(); });
    if (packet.index() != 0) {
        close();
        return false;
    }
    if (!std::get<0>(packet)) {
        return false;
    }
    pg_body_reader reader(*std::get<0>(packet));
    const std::int32_t code = reader.int32();
    if (code == pg_ssl_request || code == pg_gss_request) {
        m_stream->write("N");
        return true;
    }
    if (code == pg_cancel_request) {
        const auto process = static_cast<std::uint32_t>(reader.int32());
        const auto secret = static_cast<std::uint32_t>(reader.int32());
        m_server.cancel({.m_process_id = process, .m_secret = secret});
        close();
        return false;
    }
    if (m_is_over_limit) {
        append_error_response(m_output, {.m_severity = pg_severity::fatal,
                                         .m_sqlstate = "53300",
                                         .m_message = "sorry, too many clients already"});
        m_stream->write(m_output);
        m_stage = stage::closed;
        m_stream->close_after_flush();
        m_server.remove(this);
        return false;
    }
    const auto parameters = value_or_failure([&] { return parse_startup_parameters(reader.remaining()); });
    if (const auto* read = std::get_if<0>(&parameters)) {
        const auto user = read->find("user");
        m_is_follower = user != read->end() && user->second == "replication";
    }
    m_stage = stage::connecting;
    m_server.loop().after(m_server.options().m_connect_time,
                          [self = shared_from_this()] { self->finish_connecting(); });
    return false;
}

void upstream_session::finish_connecting() {
    if (m_stage != stage::connecting) {
        return;
    }
    m_stage = stage::open;
    append_authentication_ok(m_output);
    append_parameter_status(m_output, "server_version", "15.0");
    append_parameter_status(m_output, "client_encoding", "UTF8");
    append_backend_key_data(m_output, m_key);
    send_ready();
    process_input();
}

void upstream_session::handle_message(const pg_message& message) {
    const pg_body_reader body(message.m_body);
    if (m_skipping_until_sync && message.m_type != 'S' && message.m_type != 'X') {
        return;
    }
    switch (message.m_type) {
    case 'Q':
        simple_query(pg_body_reader(message.m_body).text());
        break;
    case 'P':
        parse(body);
        break;
    case 'B':
        bind(body);
        break;
    case 'D':
        describe(body);
        break;
    case 'E':
        execute(body);
        break;
    case 'C':
        close_named(body);
        break;
    case 'S':
        sync();
        break;
    case 'H':
        m_stream->write(m_output);
        m_output.clear();
        break;
    case 'X':
        close();
        break;
    default:
        append_sql_error({.m_sqlstate = "08P01", .m_message = "unknown message"});
        m_stream->write(m_output);
        close();
        break;
    }
}

void upstream_session::simple_query(std::string_view sql) {
    auto parsed = parse_script(sql);
    if (auto* error = std::get_if<sql_error>(&parsed)) {
        m_transaction_failed = m_in_transaction_block;
        append_sql_error(*error);
        send_ready();
        return;
    }
    run_script_from(std::make_shared<std::vector<sql_statement>>(std::get<0>(std::move(parsed))), 0);
}

void upstream_session::run_script_from(std::shared_ptr<std::vector<sql_statement>> script,
                                       std::size_t index) {
    if (index == script->size()) {
        if (!m_in_transaction_block) {
            end_transaction(true);
        }
        send_ready();
        return;
    }
    const sql_statement& statement = (*script)[index];
    if (statement.m_type == statement_type::empty) {
        append_empty_message(m_output, 'I');
        run_script_from(std::move(script), index + 1);
        return;
    }
    run(statement, {}, [this, script, index](std::variant<result_set, sql_error> outcome) {
        if (auto* error = std::get_if<sql_error>(&outcome)) {
            if (!m_in_transaction_block) {
                end_transaction(false);
            }
            append_sql_error(*error);
            send_ready();
            return;
        }
        append_result(std::get<result_set>(outcome), true);
        run_script_from(script, index + 1);
    });
}

void upstream_session::parse(pg_body_reader body) {
    const std::string name(body.text());
    auto parsed = parse_script(body.text());
    if (auto* error = std::get_if<sql_error>(&parsed)) {
        fail_extended_query(*error);
        return;
    }
    if (!name.empty() && m_prepared.contains(name)) {
        fail_extended_query(
            {.m_sqlstate = "42P05", .m_message = "prepared statement \"" + name + "\" already exists"});
        return;
    }
    prepared_statement prepared{.m_statements = std::get<0>(std::move(parsed)), .m_parameter_types = {}};
    const int types = body.int16();
    for (int index = 0; index < types; ++index) {
        prepared.m_parameter_types.push_back(body.int32());
    }
    if (prepared.m_statements.size() > 1) {
        fail_extended_query({.m_sqlstate = "42601",
                             .m_message = "cannot insert multiple commands into a prepared statement"});
        return;
    }
    m_prepared[name] = std::move(prepared);
    append_empty_message(m_output, '1');
}

void upstream_session::bind(pg_body_reader body) {
    const std::string portal_name(body.text());
    const std::string name(body.text());
    const auto source = m_prepared.find(name);
    if (source == m_prepared.end()) {
        fail_extended_query(
            {.m_sqlstate = "26000", .m_message = "prepared statement \"" + name + "\" does not exist"});
        return;
    }
    portal bound{.m_source = source->second, .m_parameters = {}};
    const int formats = body.int16();
    body.bytes(static_cast<std::size_t>(formats) * 2);
    const int count = body.int16();
    for (int index = 0; index < count; ++index) {
        const std::int32_t size = body.int32();
        bound.m_parameters.push_back(size < 0 ? sql_value{}
                                              : sql_value{body.bytes(static_cast<std::size_t>(size))});
    }
    m_portals[portal_name] = std::move(bound);
    append_empty_message(m_output, '2');
}

std::vector<sql_column> upstream_session::columns_of(const prepared_statement& source,
                                                     const std::vector<sql_value>& parameters) {
    if (source.m_statements.empty()) {
        return {};
    }
    sql_statement statement = source.m_statements.front();
    if (statement.m_type == statement_type::select_values) {
        return values_result(statement, parameters).m_columns;
    }
    if (statement.m_type == statement_type::show) {
        return {{.m_name = statement.m_name, .m_type = "text"}};
    }
    if (statement.m_type == statement_type::call) {
        if (statement.m_name == "pg_sleep") {
            return {{.m_name = "pg_sleep", .m_type = "text"}};
        }
        const auto outcome = call(statement, parameters);
        const auto* result = std::get_if<result_set>(&outcome);
        return result != nullptr ? result->m_columns : std::vector<sql_column>{};
    }
    if (statement.m_type != statement_type::select_rows) {
        return {};
    }
    statement.m_for_update = false;
    transaction probe = m_server.data().begin();
    const execution outcome = m_server.data().run(probe, statement, parameters);
    const auto* result = std::get_if<result_set>(&outcome);
    return result != nullptr ? result->m_columns : std::vector<sql_column>{};
}

void upstream_session::describe(pg_body_reader body) {
    const char kind = body.byte();
    const std::string name(body.text());
    const prepared_statement* source = nullptr;
    std::vector<sql_value> parameters;
    if (kind == 'S' && m_prepared.contains(name)) {
        source = &m_prepared[name];
        // The stand-in does not infer types; every parameter is reported as text.
        int count = 0;
        for (const sql_statement& each : source->m_statements) {
            const auto count_parameter = [&](const sql_expression& expression) {
                count = std::max(count, expression.m_parameter.value_or(0));
            };
            for (const auto& row : each.m_rows) {
                std::for_each(row.begin(), row.end(), count_parameter);
            }
            for (const sql_condition& condition : each.m_where) {
                count_parameter(condition.m_value);
            }
            for (const sql_assignment& assignment : each.m_assignments) {
                count_parameter(assignment.m_value);
            }
        }
        pg_message_writer types(m_output, 't');
        types.int16(count);
        for (int index = 0; index < count; ++index) {
            types.int32(type_text);
        }
    } else if (kind == 'P' && m_portals.contains(name)) {
        source = &m_portals[name].m_source;
        parameters = m_portals[name].m_parameters;
    } else {
        fail_extended_query({.m_sqlstate = kind == 'S' ? "26000" : "34000",
                             .m_message = "\"" + name + "\" does not exist"});
        return;
    }
    const std::vector<sql_column> columns = columns_of(*source, parameters);
    if (columns.empty()) {
        append_empty_message(m_output, 'n');
    } else {
        append_row_description(m_output, to_pg_columns(columns));
    }
}

void upstream_session::execute(pg_body_reader body) {
    const std::string name(body.text());
    const auto found = m_portals.find(name);
    if (found == m_portals.end()) {
        fail_extended_query({.m_sqlstate = "34000", .m_message = "portal \"" + name + "\" does not exist"});
        return;
    }
    const portal executed_portal = found->second;
    if (executed_portal.m_source.m_statements.empty() ||
        executed_portal.m_source.m_statements.front().m_type == statement_type::empty) {
        append_empty_message(m_output, 'I');
        return;
    }
    run(executed_portal.m_source.m_statements.front(), executed_portal.m_parameters,
        [this](std::variant<result_set, sql_error> outcome) {
            if (auto* error = std::get_if<sql_error>(&outcome)) {
                fail_extended_query(*error);
            } else {
                append_result(std::get<result_set>(outcome), false);
            }
            process_input();
        });
}

void upstream_session::close_named(pg_body_reader body) {
    const char kind = body.byte();
    const std::string name(body.text());
    if (kind == 'S') {
        m_prepared.erase(name);
    } else {
        m_portals.erase(name);
    }
    append_empty_message(m_output, '3');
}

void upstream_session::sync() {
    if (!m_in_transaction_block) {
        end_transaction(!m_skipping_until_sync);
    }
    m_skipping_until_sync = false;
    send_ready();
}

void upstream_session::run(const sql_statement& statement, std::vector<sql_value> parameters,
                           statement_done done) {
    if (m_transaction_failed && statement.m_type != statement_type::rollback &&
        statement.m_type != statement_type::commit) {
        done(aborted_error());
        return;
    }
    if (is_group_function(statement)) {
        done(call(statement, parameters));
        return;
    }
    m_busy = true;
    m_cancelled = false;
    m_lock_timed_out = false;
    m_server.acquire_slot(
        [self = shared_from_this(), statement, parameters = std::move(parameters),
         done = std::move(done)]() mutable { self->run_in_slot(statement, parameters, done); });
}

void upstream_session::run_in_slot(const sql_statement& statement, const std::vector<sql_value>& parameters,
                                   const statement_done& done) {
    microseconds duration =
        is_transaction_control(statement) ? microseconds{0} : m_server.options().m_service_time;
    if (statement.m_type == statement_type::call && statement.m_name == "pg_sleep") {
        const sql_value seconds = evaluate(statement.m_rows.front().front(), parameters);
        duration = microseconds{std::llround(std::atof(seconds.value_or("0").c_str()) * 1e6)};
    }
    const steady_time finish_time = reactor::now() + duration;
    const auto finish_after_service = [self = shared_from_this(), statement, parameters, done] {
        self->m_server.release_slot();
        self->finish_statement(statement, parameters, done);
        if (!self->m_busy) {
            self->process_input();
        }
    };
    if (duration.count() == 0) {
        finish_after_service();
        return;
    }
    // Check for cancellation at intervals until the service time has passed.
    const auto wait = std::make_shared<std::function<void()>>();
    *wait = [self = shared_from_this(), finish_time, finish_after_service, weak = std::weak_ptr(wait)] {
        const auto poll = weak.lock();
        if (self->m_cancelled || reactor::now() >= finish_time || self->m_stage == stage::closed) {
            finish_after_service();
            return;
        }
        const auto left = std::chrono::duration_cast<microseconds>(finish_time - reactor::now());
        self->m_server.loop().after(std::min<microseconds>(left, cancel_poll_interval),
                                    [poll] { (*poll)(); });
    };
    (*wait)();
}

void upstream_session::finish_statement(const sql_statement& statement,
                                        const std::vector<sql_value>& parameters,
                                        const statement_done& done) {
    const auto complete = [&](std::variant<result_set, sql_error> outcome) {
        m_busy = false;
        if (std::holds_alternative<sql_error>(outcome) && m_in_transaction_block) {
            m_transaction_failed = true;
        }
        done(std::move(outcome));
    };
    if (m_stage == stage::closed) {
        return;
    }
    if (m_cancelled) {
        complete(cancelled_error());
        return;
    }
    const bool changes_data = is_write(statement) || (statement.m_type == statement_type::commit &&
                                                      m_transaction && m_transaction->has_changes());
    if (changes_data && m_server.is_primary() && m_server.writes_held()) {
        m_server.run_after_unlock([self = shared_from_this(), statement, parameters, done] {
            self->finish_statement(statement, parameters, done);
            if (!self->m_busy) {
                self->process_input();
            }
        });
        return;
    }
    if (is_transaction_control(statement)) {
        complete(control_transaction(statement));
        return;
    }
    if (is_write(statement) && !m_server.is_primary()) {
        complete(read_only_error());
        return;
    }
    if (statement.m_type == statement_type::call) {
        complete(call(statement, parameters));
        return;
    }
    if (statement.m_type == statement_type::select_values) {
        complete(values_result(statement, parameters));
        return;
    }
    if (statement.m_type == statement_type::set || statement.m_type == statement_type::show) {
        result_set shown{.m_columns = {}, .m_rows = {}, .m_tag = "SET"};
        if (statement.m_type == statement_type::show) {
            shown = {.m_columns = {{.m_name = statement.m_name, .m_type = "text"}},
                     .m_rows = {{statement.m_name == "transaction_read_only"
                                     ? m_server.is_primary() ? "off" : "on"
                                     : ""}},
                     .m_tag = "SHOW"};
        }
        complete(shown);
        return;
    }
    if (!m_transaction) {
        m_transaction = m_server.data().begin();
    }
    execution outcome = m_server.data().run(*m_transaction, statement, parameters);
    if (!std::holds_alternative<blocked>(outcome)) {
        if (auto* error = std::get_if<sql_error>(&outcome)) {
            complete(*error);
        } else {
            complete(std::get<result_set>(std::move(outcome)));
        }
        return;
    }
    if (m_lock_timed_out) {
        complete(sql_error{.m_sqlstate = "40P01", .m_message = "waited too long for a row lock"});
        return;
    }
    const auto resumed = std::make_shared<bool>(false);
    const auto resume = [self = shared_from_this(), statement, parameters, done, resumed](bool timed_out) {
        if (*resumed) {
            return;
        }
        *resumed = true;
        self->m_lock_timed_out = timed_out;
        self->finish_statement(statement, parameters, done);
        if (!self->m_busy) {
            self->process_input();
        }
    };
    m_server.run_after_unlock([resume] { resume(false); });
    m_server.loop().after(lock_timeout, [resume] { resume(true); });
}

std::variant<result_set, sql_error> upstream_session::control_transaction(const sql_statement& statement) {
    result_set result;
    if (statement.m_type == statement_type::begin) {
        m_in_transaction_block = true;
        result.m_tag = "BEGIN";
        return result;
    }
    const bool commit = statement.m_type == statement_type::commit && !m_transaction_failed;
    if (commit && m_transaction && m_transaction->has_changes() && !m_server.is_primary()) {
        end_transaction(false);
        m_in_transaction_block = false;
        return read_only_error();
    }
    end_transaction(commit);
    m_in_transaction_block = false;
    m_transaction_failed = false;
    result.m_tag = commit ? "COMMIT" : "ROLLBACK";
    return result;
}

std::variant<result_set, sql_error> upstream_session::call(const sql_statement& statement,
                                                           const std::vector<sql_value>& parameters) {
    if (statement.m_name == "pg_sleep") {
        return result_set{
            .m_columns = {{.m_name = "pg_sleep", .m_type = "text"}}, .m_rows = {{""}}, .m_tag = "SELECT 1"};
    }
    std::vector<sql_value> values;
    for (const sql_expression& expression : statement.m_rows.front()) {
        values.push_back(evaluate(expression, parameters));
    }
    return m_server.call(statement.m_name, values);
}

void upstream_session::end_transaction(bool commit) {
    if (!m_transaction) {
        return;
    }
    // Changes are rolled back if the upstream is no longer primary.
    if (commit && (m_server.is_primary() || !m_transaction->has_changes())) {
        m_server.data().commit(*m_transaction, m_server.term());
    } else {
        m_server.data().rollback(*m_transaction);
    }
    m_transaction.reset();
    m_server.notify_unlocked();
}

void upstream_session::fail_extended_query(const sql_error& error) {
    append_sql_error(error);
    m_transaction_failed = m_in_transaction_block;
    m_skipping_until_sync = true;
}

void upstream_session::append_sql_error(const sql_error& error) {
    append_error_response(
        m_output,
        {.m_severity = pg_severity::error, .m_sqlstate = error.m_sqlstate, .m_message = error.m_message});
}

void upstream_session::append_result(const result_set& result, bool with_description) {
    if (with_description && !result.m_columns.empty()) {
        append_row_description(m_output, to_pg_columns(result.m_columns));
    }
    for (const table_row& row : result.m_rows) {
        append_data_row(m_output, row);
    }
    append_command_complete(m_output, result.m_tag);
}

void upstream_session::send_ready() {
    const std::string position = to_string(m_server.data().position());
    if (position != m_reported_position && !m_is_follower) {
        append_parameter_status(m_output, "group_position", position);
        m_reported_position = position;
    }
    append_ready_for_query(m_output, !m_in_transaction_block ? 'I' : m_transaction_failed ? 'E' : 'T');
    m_stream->write(m_output);
    m_output.clear();
    if (!m_in_transaction_block) {
        m_portals.clear();
    }
}

void upstream_session::cancel() {
    m_cancelled = m_busy;
}

}
