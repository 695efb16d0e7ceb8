/// \file caller_batch.cpp
/// Implements caller_batch: rewrites statement names and computes the digest while messages
/// are added.
#include "caller_batch.hpp"

#include "anvilmount/decisions/placement.hpp"
#include "anvilmount/decisions/sql_tokens.hpp"
#include "anvilmount/wire/pg_messages.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace anvilmount {
namespace {

/// Returns a statement name that is the same for the same `text` in every instance, so that
/// callers that use the same statement share it on a connection.
std::string content_based_name(std::string_view text) {
    std::array<char, 40> name{};
    const std::string salted = "again:" + std::string(text);
    std::snprintf(name.data(), name.size(), "av_%016llx%016llx",
                  static_cast<unsigned long long>(stable_hash(text)),
                  static_cast<unsigned long long>(stable_hash(salted)));
    return name.data();
}

std::uint64_t token_digest(std::string_view sql) {
    std::string joined;
    for (const sql_token& token : tokenize_sql(sql).m_tokens) {
        joined += static_cast<char>('0' + static_cast<int>(token.m_kind));
        joined += token.m_text;
        joined += '\0';
    }
    return stable_hash(joined);
}

failure truncated_message(const char* what) {
    return {.m_code = result_code::protocol_violation,
            .m_message = std::string("a ") + what + " message is cut off"};
}

/// Returns the parameter count and values of a Bind message, where `body` is its rest after
/// the names; empty when the message has no parameters.
std::string_view bound_parameters(pg_body_reader body) {
    const int formats = body.int16();
    body.bytes(static_cast<std::size_t>(std::max(0, formats)) * sizeof(std::int16_t));
    const std::string_view values = body.remaining();
    const int count = body.int16();
    for (int index = 0; index < count && body.ok(); ++index) {
        body.bytes(static_cast<std::size_t>(std::max(0, body.int32())));
    }
    return count > 0 && body.ok() ? values.substr(0, values.size() - body.remaining().size())
                                  : std::string_view{};
}

std::shared_ptr<const script_traits>
traits_pointer(const std::shared_ptr<const prepared_statement>& source) {
    return {source, &source->m_traits};
}

bool needs_no_upstream(const statement_traits& statement) {
    return statement.m_kind == statement_kind::session_set ||
           statement.m_kind == statement_kind::session_show || statement.m_kind == statement_kind::empty;
}

}

result<void> caller_batch::add(const pg_message& message, prepared_statements& prepared) {
    pg_body_reader body(message.m_body);
    switch (message.m_type) {
    case 'Q': {
        const std::string_view sql = body.text();
        if (!body.ok()) {
            return boost::leaf::new_error(truncated_message("Query"));
        }
        add_to_digest(token_digest(sql));
        m_entries.push_back(
            {.m_type = 'Q', .m_traits = std::make_shared<script_traits>(classify_script(sql))});
        m_wire.mutable_messages()->append(message.m_raw_bytes);
        return {};
    }
    case 'P':
        return add_parse(message, prepared);
    case 'B':
        return add_bind(message, prepared);
    case 'D':
    case 'C':
        return add_describe_or_close(message, prepared);
    default:
        m_entries.push_back({.m_type = message.m_type, .m_traits = nullptr});
        m_wire.mutable_messages()->append(message.m_raw_bytes);
        return {};
    }
}

result<void> caller_batch::add_parse(const pg_message& message, prepared_statements& prepared) {
    pg_body_reader body(message.m_body);
    const std::string name(body.text());
    const std::string_view definition = body.remaining();
    const std::string_view sql = body.text();
    if (!body.ok()) {
        return boost::leaf::new_error(truncated_message("Parse"));
    }
    const auto source = std::make_shared<prepared_statement>();
    source->m_upstream_name = name.empty() ? std::string() : content_based_name(definition);
    pg_message_writer(source->m_parse_message, 'P').text(source->m_upstream_name).bytes(definition);
    source->m_traits = classify_script(sql);
    source->m_digest = token_digest(sql);
    m_has_unnamed_parse = m_has_unnamed_parse || name.empty();
    prepared[name] = source;
    m_entries.push_back({.m_type = 'P', .m_traits = traits_pointer(source)});
    m_wire.mutable_messages()->append(source->m_parse_message);
    return {};
}

std::string caller_batch::upstream_name_of(std::string_view name, const prepared_statements& prepared,
                                           std::shared_ptr<const script_traits>& traits) {
    const auto known = prepared.find(name);
    if (known == prepared.end()) {
        // The upstream does not have this name either and returns its own error.
        return "unknown " + std::string(name);
    }
    const prepared_statement& source = *known->second;
    traits = traits_pointer(known->second);
    const bool is_listed =
        std::any_of(m_wire.statements().begin(), m_wire.statements().end(),
                    [&](const auto& each) { return each.name() == source.m_upstream_name; });
    const bool just_parsed = name.empty() && m_has_unnamed_parse;
    if (!is_listed && !just_parsed) {
        peer::statement_source& needed = *m_wire.add_statements();
        needed.set_name(source.m_upstream_name);
        needed.set_parse(source.m_parse_message);
    }
    return source.m_upstream_name;
}

result<void> caller_batch::add_bind(const pg_message& message, const prepared_statements& prepared) {
    pg_body_reader body(message.m_body);
    const std::string_view portal = body.text();
    const std::string_view name = body.text();
    if (!body.ok()) {
        return boost::leaf::new_error(truncated_message("Bind"));
    }
    entry added{.m_type = 'B', .m_traits = nullptr};
    const std::string upstream_name = upstream_name_of(name, prepared, added.m_traits);
    if (const auto known = prepared.find(name); known != prepared.end()) {
        add_to_digest(known->second->m_digest);
    }
    const std::string_view parameters = bound_parameters(body);
    if (!parameters.empty()) {
        add_to_digest(stable_hash(parameters));
    }
    m_entries.push_back(std::move(added));
    pg_message_writer(*m_wire.mutable_messages(), 'B')
        .text(portal)
        .text(upstream_name)
        .bytes(body.remaining());
    return {};
}

result<void> caller_batch::add_describe_or_close(const pg_message& message, prepared_statements& prepared) {
    pg_body_reader body(message.m_body);
    const char kind = body.byte();
    const std::string name(body.text());
    if (!body.ok() || (kind != 'S' && kind != 'P')) {
        return boost::leaf::new_error(truncated_message(message.m_type == 'D' ? "Describe" : "Close"));
    }
    entry added{.m_type = message.m_type, .m_traits = nullptr, .m_describes_statement = kind == 'S'};
    if (kind == 'P') {
        m_wire.mutable_messages()->append(message.m_raw_bytes);
    } else if (message.m_type == 'D') {
        const std::string upstream_name = upstream_name_of(name, prepared, added.m_traits);
        pg_message_writer(*m_wire.mutable_messages(), 'D').byte('S').text(upstream_name);
    } else {
        prepared.erase(name);
        m_wire.mutable_messages()->append(message.m_raw_bytes);
    }
    m_entries.push_back(std::move(added));
    return {};
}

void caller_batch::add_to_digest(std::uint64_t part) {
    constexpr std::uint64_t fnv_prime = 1099511628211ULL;
    m_digest = m_digest * fnv_prime + part;
}

bool caller_batch::ends_with_sync() const {
    return !m_entries.empty() && (m_entries.back().m_type == 'S' || m_entries.back().m_type == 'Q');
}

script_traits caller_batch::traits() const {
    script_traits all;
    for (const entry& each : m_entries) {
        if (each.m_traits) {
            const std::vector<statement_traits>& statements = each.m_traits->m_statements;
            all.m_statements.insert(all.m_statements.end(), statements.begin(), statements.end());
            all.m_hints.insert(all.m_hints.end(), each.m_traits->m_hints.begin(),
                               each.m_traits->m_hints.end());
        }
    }
    if (all.m_statements.empty()) {
        all.m_statements.emplace_back();
    }
    return all;
}

bool caller_batch::is_answered_locally() const {
    return std::all_of(m_entries.begin(), m_entries.end(), [](const entry& each) {
        const bool needs_statement =
            each.m_type == 'B' || (each.m_type == 'D' && each.m_describes_statement);
        if (!each.m_traits) {
            return !needs_statement;
        }
        return std::all_of(each.m_traits->m_statements.begin(), each.m_traits->m_statements.end(),
                           needs_no_upstream);
    });
}

}
