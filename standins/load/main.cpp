/// \file main.cpp
/// standin-load: runs one kind of load against instances over libpq and prints the
/// result as one JSON object.
#include "load/gap_load.hpp"
#include "load/latency_load.hpp"
#include "load/mixed_load.hpp"
#include "load/pg_session.hpp"
#include "load/rank_load.hpp"
#include "load/read_load.hpp"

#include "anvilmount/base/settings.hpp"
#include "anvilmount/base/time.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <sstream>
#include <thread>

DEFINE_string(mode, "mixed", "kind of load");
DEFINE_string(callers, "127.0.0.1:5432", "addresses to connect to, separated by commas");
DEFINE_string(group, "orders", "database group");
DEFINE_string(statement, "SELECT 1", "for latency: the statement to repeat");
DEFINE_int32(connections, 100, "concurrent connections");
DEFINE_int32(statements, 100, "statements per connection");
DEFINE_int32(roam_every, 0,
             "for mixed: statements between two reconnections to another instance; 0: never");
DEFINE_int32(hold_ms, 0, "for idle: how long to hold the connections");
DEFINE_int32(duration_ms, 5000, "for gap: how long to write");
DEFINE_string(rates, "10,10,10", "for ranks: arrivals per second of ranks 1, 2 and 3");
DEFINE_int32(deadline_ms, 1000, "for ranks: deadline of each request");
DEFINE_bool(ranked, true, "for ranks: send each request's rank to the proxy");
DEFINE_int32(reads_per_stay, 8, "for reads: reads between two reconnections");
DEFINE_bool(tokens, true, "for reads: sessions present their token on most reconnections");
DEFINE_int32(max_staleness_ms, 1000, "for reads: bound of the bounded-staleness reads");
DEFINE_bool(request_ids, false, "for gap: half of the writers send request ids");
DEFINE_int32(seed, 1, "seed of all random choices");

namespace {

using namespace anvilmount;

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

std::vector<setting> settings() {
    constexpr long max_value = 100000000;
    const auto any = [](const std::string&) { return true; };
    const auto addresses = [](const std::string& value) {
        const auto parts = split(value);
        const auto check = endpoint_text(false);
        return !parts.empty() && std::all_of(parts.begin(), parts.end(), check);
    };
    const auto three_rates = [](const std::string& value) {
        const auto parts = split(value);
        const auto check = integer_between(0, max_value);
        return parts.size() == 3 && std::all_of(parts.begin(), parts.end(), check);
    };
    return {{"mode", "Load", "mixed, latency, gap, ranks, reads or idle",
             one_of({"mixed", "latency", "gap", "ranks", "reads", "idle"})},
            {"callers", "Connection", "IP:PORT[,IP:PORT...]", addresses},
            {"group", "Connection", "letters, digits, '-', '_' and '.'", plain_name()},
            {"statement", "Load", "any text", any},
            {"connections", "Load", "1 to 100000000", integer_between(1, max_value)},
            {"statements", "Load", "1 to 100000000", integer_between(1, max_value)},
            {"roam_every", "Load", "0 to 100000000 statements", integer_between(0, max_value)},
            {"hold_ms", "Load", "0 to 100000000 ms", integer_between(0, max_value)},
            {"duration_ms", "Load", "1 to 100000000 ms", integer_between(1, max_value)},
            {"request_ids", "Load", "true or false", any},
            {"rates", "Load", "three numbers from 0 to 100000000, separated by commas", three_rates},
            {"deadline_ms", "Load", "1 to 100000000 ms", integer_between(1, max_value)},
            {"max_staleness_ms", "Load", "0 to 100000000 ms", integer_between(0, max_value)},
            {"ranked", "Load", "true or false", any},
            {"reads_per_stay", "Load", "1 to 100000000 reads", integer_between(1, max_value)},
            {"tokens", "Load", "true or false", any},
            {"seed", "Load", "0 to 100000000", integer_between(0, max_value)}};
}

/// Opens the connections, prints "holding" and keeps them open for --hold_ms.
nlohmann::json run_idle_load() {
    std::vector<std::unique_ptr<standin::pg_session>> sessions;
    int failed = 0;
    for (int count = 0; count < FLAGS_connections; ++count) {
        sessions.push_back(std::make_unique<standin::pg_session>(FLAGS_callers, FLAGS_group));
        failed += sessions.back()->is_connected() ? 0 : 1;
    }
    std::printf("holding\n");
    std::fflush(stdout);
    std::this_thread::sleep_for(milliseconds{FLAGS_hold_ms});
    return {{"connections", sessions.size()}, {"failed", failed}};
}

}

int main(int argc, char** argv) {
    if (const auto exit_code = load_settings_or_exit_code(
            settings(), "standin-load: callers for tests and measurements", &argc, &argv)) {
        return *exit_code;
    }
    nlohmann::json outcome;
    if (FLAGS_mode == "mixed") {
        outcome = standin::run_mixed_load({.m_caller_addresses = split(FLAGS_callers),
                                           .m_group = FLAGS_group,
                                           .m_connections = FLAGS_connections,
                                           .m_statements = FLAGS_statements,
                                           .m_roam_every = FLAGS_roam_every,
                                           .m_seed = static_cast<std::uint32_t>(FLAGS_seed)});
    } else if (FLAGS_mode == "gap") {
        outcome = standin::run_gap_load({.m_caller_addresses = split(FLAGS_callers),
                                         .m_group = FLAGS_group,
                                         .m_connections = FLAGS_connections,
                                         .m_duration = milliseconds{FLAGS_duration_ms},
                                         .m_request_ids = FLAGS_request_ids});
    } else if (FLAGS_mode == "ranks") {
        const auto rates = split(FLAGS_rates);
        outcome = standin::run_rank_load(
            {.m_caller_addresses = split(FLAGS_callers),
             .m_group = FLAGS_group,
             .m_rates = {std::stod(rates[0]), std::stod(rates[1]), std::stod(rates[2])},
             .m_connections = FLAGS_connections,
             .m_duration = milliseconds{FLAGS_duration_ms},
             .m_deadline = milliseconds{FLAGS_deadline_ms},
             .m_ranked = FLAGS_ranked,
             .m_seed = static_cast<std::uint32_t>(FLAGS_seed)});
    } else if (FLAGS_mode == "reads") {
        outcome = standin::run_read_load({.m_caller_addresses = split(FLAGS_callers),
                                          .m_group = FLAGS_group,
                                          .m_connections = FLAGS_connections,
                                          .m_roams = FLAGS_statements,
                                          .m_reads_per_stay = FLAGS_reads_per_stay,
                                          .m_carry_tokens = FLAGS_tokens,
                                          .m_max_staleness = milliseconds{FLAGS_max_staleness_ms},
                                          .m_seed = static_cast<std::uint32_t>(FLAGS_seed)});
    } else if (FLAGS_mode == "latency") {
        outcome = standin::run_latency_load({.m_address = FLAGS_callers,
                                             .m_group = FLAGS_group,
                                             .m_statement = FLAGS_statement,
                                             .m_connections = FLAGS_connections,
                                             .m_statements = FLAGS_statements});
    } else {
        outcome = run_idle_load();
    }
    std::printf("%s\n", outcome.dump().c_str());
    return 0;
}
