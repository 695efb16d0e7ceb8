/// \file fleet_membership.cpp
/// Converts the members' records to and from JSON. The keys are part of the stored data and stay as
/// they are, also where the C++ name differs.
#include "anvilmount/gateway/fleet_membership.hpp"

#include <nlohmann/json.hpp>

namespace anvilmount::gateway {
namespace {

using nlohmann::json;

json to_json(const log_position& position) {
    return {{"term", position.m_term}, {"offset", position.m_offset}};
}

log_position parse_position(const json& value) {
    return {.m_term = value.at("term").get<std::uint64_t>(),
            .m_offset = value.at("offset").get<std::uint64_t>()};
}

/// Returns the address; port 0 when the text is not an address.
endpoint parse_address(const json& value) {
    const std::string text = value.get<std::string>();
    const auto read = value_or_failure([&] { return parse_endpoint(text); });
    const auto* address = std::get_if<0>(&read);
    return address == nullptr ? endpoint{} : *address;
}

json to_json(const std::vector<account_home>& homes) {
    json list = json::array();
    for (const account_home& each : homes) {
        list.push_back({{"name", each.m_name}, {"data_centre", each.m_data_centre.m_text}});
    }
    return list;
}

std::vector<account_home> parse_homes(const json& list) {
    std::vector<account_home> homes;
    for (const json& each : list) {
        homes.push_back({.m_name = each.at("name").get<std::string>(),
                         .m_data_centre = {each.at("data_centre").get<std::string>()}});
    }
    return homes;
}

/// Returns `read` applied to the parsed text; nothing when the text is not JSON or a field is
/// missing or has another type.
template <class Read>
auto parse_record(const std::string& text, Read read) -> std::optional<decltype(read(json{}))> {
    try {
        return read(json::parse(text));
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}

std::string to_text(const member_record& record) {
    json epochs = json::object();
    for (const auto& [group, epoch] : record.m_acknowledged_epochs) {
        epochs[group.m_text] = epoch;
    }
    json missing = json::array();
    for (const group_name& group : record.m_unreachable_primaries) {
        missing.push_back(group.m_text);
    }
    json text{{"name", record.m_name},
              {"incarnation", record.m_incarnation},
              {"probe", to_string(record.m_probe_address)},
              {"relay", to_string(record.m_forwarding_address)},
              {"store_relay", to_string(record.m_store_relay_address)},
              {"data_centre", record.m_data_centre.m_text},
              {"leaving", record.m_leaving},
              {"processor_millis", record.m_processor_millis},
              {"epochs", epochs},
              {"missing", missing}};
    if (record.m_registration) {
        text["registered"] = record.m_registration->m_number;
        text["registered_era"] = record.m_registration->m_era;
    }
    for (const auto& [group, range] : record.m_acknowledged_commits) {
        text["commits"][group.m_text] = {{"at_least", to_json(range.m_at_least)},
                                         {"at_most", to_json(range.m_at_most)}};
    }
    if (record.m_acknowledged_version) {
        text["acknowledged"] = record.m_acknowledged_version->m_number;
        text["acknowledged_era"] = record.m_acknowledged_version->m_era;
    }
    return text.dump();
}

std::string to_text(const witness_record& record) {
    return json{{"incarnation", record.m_incarnation}, {"address", to_string(record.m_address)}}.dump();
}

std::string to_text(const coordinator_record& record) {
    json pending = json::array();
    for (const pending_promotion& each : record.m_pending) {
        pending.push_back({{"group", each.m_group.m_text}, {"upstream", each.m_target.m_text}});
    }
    return json{{"holder", record.m_holder},
                {"incarnation", record.m_incarnation},
                {"token", record.m_token},
                {"pending", pending}}
        .dump();
}

std::string to_text(const group_record& record) {
    return json{{"epoch", record.m_epoch},
                {"switching", record.m_stage == group_stage::switching},
                {"primary", record.m_primary.m_text},
                {"term", record.m_term},
                {"start", to_json(record.m_start)},
                {"candidate", record.m_candidate.m_text},
                {"planned", record.m_planned}}
        .dump();
}

std::string to_text(const renewal_counts& counts) {
    return json(counts).dump();
}

std::optional<member_record> parse_member_record(const std::string& text) {
    return parse_record(text, [](const json& value) {
        member_record record{.m_name = value.at("name").get<std::string>(),
                             .m_incarnation = value.at("incarnation").get<std::string>()};
        record.m_probe_address = parse_address(value.at("probe"));
        record.m_forwarding_address = parse_address(value.at("relay"));
        record.m_store_relay_address = parse_address(value.value("store_relay", json("")));
        record.m_data_centre = {value.at("data_centre").get<std::string>()};
        record.m_leaving = value.at("leaving").get<bool>();
        record.m_processor_millis = value.value("processor_millis", std::uint32_t{0});
        if (value.contains("registered")) {
            record.m_registration = {.m_era = value.at("registered_era").get<std::uint64_t>(),
                                     .m_number = value.at("registered").get<std::uint64_t>()};
        }
        if (value.contains("acknowledged")) {
            record.m_acknowledged_version = {.m_era = value.value("acknowledged_era", std::uint64_t{0}),
                                             .m_number = value.at("acknowledged").get<std::uint64_t>()};
        }
        const json commits = value.value("commits", json::object());
        for (const auto& [group, range] : commits.items()) {
            record.m_acknowledged_commits[{group}] = {.m_at_least = parse_position(range.at("at_least")),
                                                      .m_at_most = parse_position(range.at("at_most"))};
        }
        for (const auto& [group, epoch] : value.at("epochs").items()) {
            record.m_acknowledged_epochs[{group}] = epoch.get<std::uint64_t>();
        }
        for (const json& group : value.at("missing")) {
            record.m_unreachable_primaries.insert({group.get<std::string>()});
        }
        return record;
    });
}

std::optional<witness_record> parse_witness_record(const std::string& text) {
    return parse_record(text, [](const json& value) {
        return witness_record{.m_incarnation = value.at("incarnation").get<std::string>(),
                              .m_address = parse_address(value.at("address"))};
    });
}

std::optional<coordinator_record> parse_coordinator_record(const std::string& text) {
    return parse_record(text, [](const json& value) {
        coordinator_record record{.m_holder = value.at("holder").get<std::string>(),
                                  .m_incarnation = value.at("incarnation").get<std::string>(),
                                  .m_token = value.at("token").get<std::uint64_t>()};
        // Missing in rows of the version before.
        for (const json& each : value.value("pending", json::array())) {
            record.m_pending.push_back({.m_group = {each.at("group").get<std::string>()},
                                        .m_target = {each.at("upstream").get<std::string>()}});
        }
        return record;
    });
}

std::optional<std::uint64_t> parse_settled_era(const std::string& text) {
    return parse_record(text, [](const json& value) { return value.get<std::uint64_t>(); });
}

std::optional<renewal_counts> parse_renewal_counts(const std::string& text) {
    return parse_record(text, [](const json& value) { return value.get<renewal_counts>(); });
}

std::string to_text(const account_home_set& set) {
    json text{{"generation", set.m_generation}, {"homes", to_json(set.m_homes)}};
    if (set.m_previous) {
        text["previous"] = to_json(*set.m_previous);
    }
    return text.dump();
}

std::optional<account_home_set> parse_account_home_set(const std::string& text) {
    return parse_record(text, [](const json& value) {
        account_home_set set{.m_generation = value.at("generation").get<std::uint64_t>(),
                             .m_homes = parse_homes(value.at("homes"))};
        if (value.contains("previous")) {
            set.m_previous = parse_homes(value.at("previous"));
        }
        return set;
    });
}

std::optional<group_record> parse_group_record(const std::string& text) {
    return parse_record(text, [](const json& value) {
        return group_record{.m_epoch = value.at("epoch").get<std::uint64_t>(),
                            .m_stage = value.at("switching").get<bool>() ? group_stage::switching
                                                                         : group_stage::steady,
                            .m_primary = {value.at("primary").get<std::string>()},
                            .m_term = value.at("term").get<std::uint64_t>(),
                            .m_start = parse_position(value.at("start")),
                            .m_candidate = {value.at("candidate").get<std::string>()},
                            .m_planned = value.at("planned").get<bool>()};
    });
}

}
