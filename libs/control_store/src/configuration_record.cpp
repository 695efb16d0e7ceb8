/// \file configuration_record.cpp
#include "anvilmount/control_store/configuration_record.hpp"

#include <set>

namespace anvilmount {
namespace {

using nlohmann::json;

constexpr int most_connections = 10000;
constexpr int longest_ms = 24 * 60 * 60 * 1000;
constexpr int longest_queue = 1000000;

/// Reads fields of one JSON object; the first complaint is kept.
class record_reader {
public:
    record_reader(const json& object, std::string path, std::string& complaint)
        : m_object(object), m_path(std::move(path)), m_complaint(complaint) {
        if (!object.is_object()) {
            complain("", "an object");
        }
    }

    std::string text(const char* name, bool required) {
        const json* value = find(name, required);
        if (value == nullptr) {
            return {};
        }
        if (!value->is_string() || (required && value->get_ref<const std::string&>().empty())) {
            complain(name, "a text that is not empty");
            return {};
        }
        return value->get<std::string>();
    }

    int number(const char* name, int otherwise, int least, int greatest) {
        const json* value = find(name, false);
        if (value == nullptr) {
            return otherwise;
        }
        if (!value->is_number_integer() || value->get<std::int64_t>() < least ||
            value->get<std::int64_t>() > greatest) {
            complain(name,
                     "a whole number from " + std::to_string(least) + " to " + std::to_string(greatest));
            return otherwise;
        }
        return value->get<int>();
    }

    double share(const char* name, double otherwise) {
        const json* value = find(name, false);
        if (value == nullptr) {
            return otherwise;
        }
        if (!value->is_number() || value->get<double>() < 0.0 || value->get<double>() > 1.0) {
            complain(name, "a number from 0 to 1");
            return otherwise;
        }
        return value->get<double>();
    }

    bool flag(const char* name, bool otherwise) {
        const json* value = find(name, false);
        if (value == nullptr) {
            return otherwise;
        }
        if (!value->is_boolean()) {
            complain(name, "true or false");
            return otherwise;
        }
        return value->get<bool>();
    }

    /// Calls `each` with every element and its path.
    template <class Each>
    void list(const char* name, bool required, Each each) {
        const json* value = find(name, required);
        if (value == nullptr) {
            return;
        }
        if (!value->is_array() || (required && value->empty())) {
            complain(name, "a list with at least one element");
            return;
        }
        for (std::size_t index = 0; index < value->size(); ++index) {
            each((*value)[index], path_of(name) + "[" + std::to_string(index) + "]");
        }
    }

    [[nodiscard]] bool has(const char* name) const {
        return m_object.is_object() && m_object.contains(name);
    }

    void complain(const std::string& name, const std::string& allowed) {
        if (!m_complaint.empty()) {
            return;
        }
        const bool present = !name.empty() && has(name.c_str());
        m_complaint = path_of(name) + " is " +
                      (present        ? m_object[name].dump()
                       : name.empty() ? m_object.dump()
                                      : "missing") +
                      "; allowed: " + allowed;
    }

    [[nodiscard]] std::string& complaint() { return m_complaint; }

private:
    [[nodiscard]] std::string path_of(const std::string& name) const {
        return m_path.empty() ? name : name.empty() ? m_path : m_path + "." + name;
    }

    const json* find(const char* name, bool required) {
        if (!has(name)) {
            if (required) {
                complain(name, "this field is required");
            }
            return nullptr;
        }
        return &m_object[name];
    }

    const json& m_object;
    std::string m_path;
    std::string& m_complaint;
};

upstream_spec read_upstream(record_reader reader) {
    upstream_spec upstream;
    upstream.m_id.m_text = reader.text("name", true);
    const std::string address = reader.text("address", true);
    const auto parsed = value_or_failure([&] { return parse_endpoint(address); });
    if (const auto* good = std::get_if<0>(&parsed)) {
        upstream.m_address = *good;
    } else {
        reader.complain("address", "IP:PORT");
    }
    upstream.m_data_centre.m_text = reader.text("data_centre", false);
    upstream.m_connections = reader.number("connections", upstream.m_connections, 2, most_connections);
    upstream.m_slots = reader.number("slots", 0, 0, most_connections);
    upstream.m_leaving = reader.flag("leaving", false);
    return upstream;
}

rule_spec read_rule(record_reader reader) {
    rule_spec rule;
    rule.m_name = reader.text("name", true);
    rule.m_user = reader.text("user", false);
    rule.m_application = reader.text("application", false);
    rule.m_table = reader.text("table", false);
    if (reader.has("reads")) {
        rule.m_reads = reader.flag("reads", false);
    }
    rule.m_class.m_rank = reader.number("rank", 2, most_urgent_rank, least_urgent_rank);
    const int standard_deadline = static_cast<int>(rule.m_class.m_deadline.count());
    rule.m_class.m_deadline = milliseconds{reader.number("deadline_ms", standard_deadline, 1, longest_ms)};
    if (reader.has("max_staleness_ms")) {
        rule.m_class.m_max_staleness = milliseconds{reader.number("max_staleness_ms", 0, 0, longest_ms)};
    }
    rule.m_class.m_repeatable = reader.flag("repeatable", false);
    const int standard_wait = static_cast<int>(rule.m_class.m_replica_wait.count());
    rule.m_class.m_replica_wait =
        milliseconds{reader.number("replica_wait_ms", standard_wait, 0, longest_ms)};
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
        reader.complain("acknowledge", "\"majority\" or \"primary\"");
    }
    group.m_automatic_promotion = reader.flag("automatic_promotion", true);
    reader.list("upstreams", true, [&](const json& each, const std::string& path) {
        group.m_upstreams.push_back(read_upstream({each, path, reader.complaint()}));
    });
    reader.list("rules", false, [&](const json& each, const std::string& path) {
        group.m_rules.push_back(read_rule({each, path, reader.complaint()}));
    });
    return group;
}

void read_rank(configuration& read, record_reader reader) {
    const int rank = reader.number("rank", 0, most_urgent_rank, least_urgent_rank);
    if (rank == 0) {
        reader.complain("rank", "1, 2 or 3");
        return;
    }
    rank_spec& spec = read.m_ranks[static_cast<std::size_t>(rank - 1)];
    spec.m_floor = reader.share("floor", spec.m_floor);
    spec.m_greatest_share = reader.share("greatest_share", spec.m_greatest_share);
    spec.m_queue_limit = reader.number("queue_limit", spec.m_queue_limit, 1, longest_queue);
}

void check_unique(const configuration& read, record_reader& reader) {
    std::set<std::string> groups;
    std::set<std::string> upstreams;
    for (const group_spec& group : read.m_groups) {
        if (!groups.insert(group.m_name.m_text).second) {
            reader.complain("groups", "each group name once; '" + group.m_name.m_text + "' stands twice");
        }
        for (const upstream_spec& upstream : group.m_upstreams) {
            if (!upstreams.insert(upstream.m_id.m_text).second) {
                reader.complain("groups",
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
    std::string complaint;
    record_reader reader(record, "", complaint);
    configuration read;
    if (!reader.has("schema_version")) {
        reader.complain("schema_version", "this field is required");
    }
    reader.number("schema_version", 1, 1, longest_queue);
    reader.number("readable_by", 1, 1, schema_version);
    reader.list("groups", true, [&](const json& each, const std::string& path) {
        read.m_groups.push_back(read_group({each, path, complaint}));
    });
    reader.list("ranks", false, [&](const json& each, const std::string& path) {
        read_rank(read, {each, path, complaint});
    });
    check_unique(read, reader);
    if (!complaint.empty()) {
        return fail(result_code::bad_configuration, complaint);
    }
    return read;
}

}
