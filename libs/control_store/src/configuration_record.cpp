/// \file configuration_record.cpp
/// Reads the record field by field and reports the first invalid one.
#include "anvilmount/control_store/configuration_record.hpp"

#include <set>

namespace anvilmount {
namespace {

using nlohmann::json;

constexpr int max_connections = 10000;
constexpr int max_duration_ms = 24 * 60 * 60 * 1000;
constexpr int max_queue_limit = 1000000;

/// Reads and checks the fields of one JSON object. `error` keeps the first error only.
class record_reader {
public:
    record_reader(const json& object, std::string path, std::string& error)
        : m_object(object), m_path(std::move(path)), m_error(error) {
        if (!object.is_object()) {
            report_error("", "an object");
        }
    }

    std::string text(const char* name, bool required) {
        const json* value = find(name, required);
        if (value == nullptr) {
            return {};
        }
        if (!value->is_string() || (required && value->get_ref<const std::string&>().empty())) {
            report_error(name, "a text that is not empty");
            return {};
        }
        return value->get<std::string>();
    }

    int integer(const char* name, int default_value, int min_value, int max_value) {
        const json* value = find(name, false);
        if (value == nullptr) {
            return default_value;
        }
        if (!value->is_number_integer() || value->get<std::int64_t>() < min_value ||
            value->get<std::int64_t>() > max_value) {
            report_error(name, "a whole number from " + std::to_string(min_value) + " to " +
                                   std::to_string(max_value));
            return default_value;
        }
        return value->get<int>();
    }

    double fraction(const char* name, double default_value) {
        const json* value = find(name, false);
        if (value == nullptr) {
            return default_value;
        }
        if (!value->is_number() || value->get<double>() < 0.0 || value->get<double>() > 1.0) {
            report_error(name, "a number from 0 to 1");
            return default_value;
        }
        return value->get<double>();
    }

    bool boolean(const char* name, bool default_value) {
        const json* value = find(name, false);
        if (value == nullptr) {
            return default_value;
        }
        if (!value->is_boolean()) {
            report_error(name, "true or false");
            return default_value;
        }
        return value->get<bool>();
    }

    /// Calls `each` with every element of a list and the element's path.
    template <class Each>
    void list(const char* name, bool required, Each each) {
        const json* value = find(name, required);
        if (value == nullptr) {
            return;
        }
        if (!value->is_array() || (required && value->empty())) {
            report_error(name, "a list with at least one element");
            return;
        }
        for (std::size_t index = 0; index < value->size(); ++index) {
            each((*value)[index], path_of(name) + "[" + std::to_string(index) + "]");
        }
    }

    [[nodiscard]] bool has(const char* name) const {
        return m_object.is_object() && m_object.contains(name);
    }

    void report_error(const std::string& name, const std::string& allowed) {
        if (!m_error.empty()) {
            return;
        }
        const bool present = !name.empty() && has(name.c_str());
        m_error = path_of(name) + " is " +
                  (present        ? m_object[name].dump()
                   : name.empty() ? m_object.dump()
                                  : "missing") +
                  "; allowed: " + allowed;
    }

    [[nodiscard]] std::string& error() { return m_error; }

private:
    [[nodiscard]] std::string path_of(const std::string& name) const {
        return m_path.empty() ? name : name.empty() ? m_path : m_path + "." + name;
    }

    const json* find(const char* name, bool required) {
        if (!has(name)) {
            if (required) {
                report_error(name, "this field is required");
            }
            return nullptr;
        }
        return &m_object[name];
    }

    const json& m_object;
    std::string m_path;
    std::string& m_error;
};

upstream_spec read_upstream(record_reader reader) {
    upstream_spec upstream;
    upstream.m_id.m_text = reader.text("name", true);
    const std::string address = reader.text("address", true);
    const auto parsed = value_or_failure([&] { return parse_endpoint(address); });
    if (const auto* valid = std::get_if<0>(&parsed)) {
        upstream.m_address = *valid;
    } else {
        reader.report_error("address", "IP:PORT");
    }
    upstream.m_data_centre.m_text = reader.text("data_centre", false);
    upstream.m_connections = reader.integer("connections", upstream.m_connections, 2, max_connections);
    upstream.m_slots = reader.integer("slots", 0, 0, max_connections);
    upstream.m_leaving = reader.boolean("leaving", false);
    return upstream;
}

rule_spec read_rule(record_reader reader) {
    rule_spec rule;
    rule.m_name = reader.text("name", true);
    rule.m_user = reader.text("user", false);
    rule.m_application = reader.text("application", false);
    rule.m_table = reader.text("table", false);
    if (reader.has("reads")) {
        rule.m_reads = reader.boolean("reads", false);
    }
    rule.m_class.m_rank = reader.integer("rank", 2, most_urgent_rank, least_urgent_rank);
    const int default_deadline_ms = static_cast<int>(rule.m_class.m_deadline.count());
    rule.m_class.m_deadline =
        milliseconds{reader.integer("deadline_ms", default_deadline_ms, 1, max_duration_ms)};
    if (reader.has("max_staleness_ms")) {
        rule.m_class.m_max_staleness =
            milliseconds{reader.integer("max_staleness_ms", 0, 0, max_duration_ms)};
    }
    rule.m_class.m_repeatable = reader.boolean("repeatable", false);
    const int default_wait_ms = static_cast<int>(rule.m_class.m_replica_wait.count());
    rule.m_class.m_replica_wait =
        milliseconds{reader.integer("replica_wait_ms", default_wait_ms, 0, max_duration_ms)};
    return rule;
}

group_spec read_group(record_reader reader) {
    group_spec group;
    group.m_name.m_text = reader.text("name", true);
    group.m_database = reader.text("database", false);
    if (group.m_database.empty()) {
        group.m_database = group.m_name.m_text;
    }
    group.m_user = reader.text("user", false);
    if (group.m_user.empty()) {
        group.m_user = "anvilmount";
    }
    const std::string acknowledge = reader.text("acknowledge", false);
    if (acknowledge == "primary") {
        group.m_acknowledge = acknowledgement::primary;
    } else if (!acknowledge.empty() && acknowledge != "majority") {
        reader.report_error("acknowledge", "\"majority\" or \"primary\"");
    }
    group.m_automatic_promotion = reader.boolean("automatic_promotion", true);
    reader.list("upstreams", true, [&](const json& each, const std::string& path) {
        group.m_upstreams.push_back(read_upstream({each, path, reader.error()}));
    });
    reader.list("rules", false, [&](const json& each, const std::string& path) {
        group.m_rules.push_back(read_rule({each, path, reader.error()}));
    });
    return group;
}

void read_rank(configuration& loaded, record_reader reader) {
    const int rank = reader.integer("rank", 0, most_urgent_rank, least_urgent_rank);
    if (rank == 0) {
        reader.report_error("rank", "1, 2 or 3");
        return;
    }
    rank_spec& spec = loaded.m_ranks[static_cast<std::size_t>(rank - 1)];
    spec.m_floor = reader.fraction("floor", spec.m_floor);
    spec.m_greatest_share = reader.fraction("greatest_share", spec.m_greatest_share);
    spec.m_queue_limit = reader.integer("queue_limit", spec.m_queue_limit, 1, max_queue_limit);
}

void check_unique(const configuration& loaded, record_reader& reader) {
    std::set<std::string> groups;
    std::set<std::string> upstreams;
    for (const group_spec& group : loaded.m_groups) {
        if (!groups.insert(group.m_name.m_text).second) {
            reader.report_error("groups",
                                "each group name once; '" + group.m_name.m_text + "' stands twice");
        }
        for (const upstream_spec& upstream : group.m_upstreams) {
            if (!upstreams.insert(upstream.m_id.m_text).second) {
                reader.report_error("groups",
                                    "each upstream name once; '" + upstream.m_id.m_text + "' stands twice");
            }
        }
    }
}

}

result<configuration> parse_configuration(std::string_view text) {
    const json record = json::parse(text, nullptr, false);
    if (record.is_discarded()) {
        return fail(result_code::bad_configuration, "the record is not JSON");
    }
    std::string error;
    record_reader reader(record, "", error);
    configuration loaded;
    if (!reader.has("schema_version")) {
        reader.report_error("schema_version", "this field is required");
    }
    reader.integer("schema_version", 1, 1, max_queue_limit);
    reader.integer("readable_by", 1, 1, schema_version);
    reader.list("groups", true, [&](const json& each, const std::string& path) {
        loaded.m_groups.push_back(read_group({each, path, error}));
    });
    reader.list("ranks", false, [&](const json& each, const std::string& path) {
        read_rank(loaded, {each, path, error});
    });
    check_unique(loaded, reader);
    if (!error.empty()) {
        return fail(result_code::bad_configuration, error);
    }
    return loaded;
}

}
