/// \file main.cpp
/// The command-line client for operators: sends one request to an instance's operator address, prints
/// the response and reports the outcome in its exit code.
#include "anvilmount/base/settings.hpp"
#include "anvilmount/wire/http2_exchange.hpp"

#include <QCoreApplication>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

DEFINE_string(server, "127.0.0.1:5434", "operator address of any instance");
DEFINE_int32(timeout_ms, 10000, "timeout for a response; with --wait, also for all instances together");
DEFINE_int32(expected, -1, "for apply: refuse unless this revision is in force; -1: any");
DEFINE_bool(wait, false, "for apply: return once every registered instance has put the revision in force");
DEFINE_bool(json, false, "print the response as JSON");

namespace {

using namespace anvilmount;
using nlohmann::json;

constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr int exit_unavailable = 3;
constexpr int status_ok = 200;

constexpr const char* usage =
    "anvilmountctl COMMAND [FILE] [settings]: operates an anvilmount fleet\n"
    "\nCommands\n"
    "  validate FILE   check a configuration text and change nothing\n"
    "  apply FILE      put a configuration text in force; --wait: at every instance\n"
    "  get             show the configuration in force\n"
    "  switch GROUP UPSTREAM   make an upstream the primary of its group\n"
    "  status          show groups, instances and the revision of one instance\n"
    "  dump            show the whole state of one instance\n"
    "\nExit codes: 0 done, 1 refused, 2 wrong usage, 3 no answer";

std::vector<setting> settings() {
    constexpr long max_ms = 3600000;
    constexpr long max_revision = 1000000000;
    const auto any_value = [](const std::string&) { return true; };
    return {{"server", "Connection", "IP:PORT", endpoint_text(false)},
            {"timeout_ms", "Connection", "1 to 3600000 ms", integer_between(1, max_ms)},
            {"expected", "Apply", "-1 to 1000000000", integer_between(-1, max_revision)},
            {"wait", "Apply", "true or false", any_value},
            {"json", "Output", "true or false", any_value}};
}

struct command {
    http2_request m_request;
    std::string m_name;
};

std::optional<std::string> read_file(const char* name) {
    if (std::string(name) == "-") {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    const std::ifstream file(name);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Parses the command line. Returns an exit code after printing the error when it is not valid.
std::variant<command, int> parse_command(int argc, char** argv) {
    const std::string name = argc > 1 ? argv[1] : "";
    const bool takes_file = name == "apply" || name == "validate";
    const bool switches = name == "switch";
    const bool known = takes_file || switches || name == "get" || name == "status" || name == "dump";
    if (!known || argc != (switches ? 4 : takes_file ? 3 : 2)) {
        std::fprintf(stderr, "%s\n", usage);
        return exit_usage;
    }
    command parsed{.m_request = {}, .m_name = name};
    if (takes_file) {
        auto text = read_file(argv[2]);
        if (!text) {
            std::fprintf(stderr, "cannot read the file %s; give a readable file, or - for standard input\n",
                         argv[2]);
            return exit_usage;
        }
        parsed.m_request.m_body = std::move(*text);
    }
    if (name == "apply") {
        parsed.m_request.m_method = "PUT";
        parsed.m_request.m_path = "/configuration";
        parsed.m_request.m_path += FLAGS_expected >= 0 ? "?expected=" + std::to_string(FLAGS_expected) : "";
    } else if (switches) {
        parsed.m_request = {.m_method = "POST",
                            .m_path = "/switch",
                            .m_body = json{{"group", argv[2]}, {"upstream", argv[3]}}.dump()};
    } else if (name == "validate") {
        parsed.m_request.m_method = "POST";
        parsed.m_request.m_path = "/validate";
    } else {
        parsed.m_request.m_path = name == "get" ? "/configuration" : "/" + name;
    }
    return parsed;
}

void print_status(const json& status) {
    std::printf("instance %s in %s: %s, revision %s\n", status["instance"].get<std::string>().c_str(),
                status["data_centre"].get<std::string>().c_str(),
                status["state"].get<std::string>().c_str(),
                status["configuration"]["revision"].dump().c_str());
    const std::string platform_trouble = status["configuration"]["platform_trouble"];
    if (!platform_trouble.empty()) {
        std::printf("platform: %s\n", platform_trouble.c_str());
    }
    for (const auto& [name, group] : status["groups"].items()) {
        std::printf("\ngroup %s, term %s, steward %s\n", name.c_str(), group["term"].dump().c_str(),
                    group["steward"].get<std::string>().c_str());
        std::printf("  %-18s %-9s %-12s %-16s %s\n", "UPSTREAM", "ROLE", "POSITION", "HOME", "STATE");
        for (const json& upstream : group["upstreams"]) {
            const char* state = upstream["leaving"] == true   ? "leaving"
                                : upstream["avoided"] == true ? "avoided"
                                                              : "";
            std::printf("  %-18s %-9s %-12s %-16s %s\n", upstream["name"].get<std::string>().c_str(),
                        upstream["believed_primary"] == true ? "primary" : "replica",
                        upstream["position"].get<std::string>().c_str(),
                        upstream["home"].get<std::string>().c_str(), state);
        }
    }
    std::printf("\n%-16s %-22s %-12s %s\n", "INSTANCE", "PEER ADDRESS", "DATA CENTRE", "STATE");
    for (const json& each : status["instances"]) {
        std::printf("%-16s %-22s %-12s %s\n", each["id"].get<std::string>().c_str(),
                    each["peer"].get<std::string>().c_str(), each["data_centre"].get<std::string>().c_str(),
                    each["state"].get<std::string>().c_str());
    }
}

int print_response(const command& requested, const http2_response& response) {
    const json body = json::parse(response.m_body, nullptr, false);
    if (response.m_status != status_ok) {
        if (FLAGS_json) {
            std::printf("%s\n", response.m_body.c_str());
        }
        const bool has_error_code = body.is_object() && body.contains("code");
        std::fprintf(stderr, "error %s %s: %s\n", has_error_code ? body["code"].dump().c_str() : "1999",
                     has_error_code ? body["name"].get<std::string>().c_str() : "internal",
                     has_error_code ? body["message"].get<std::string>().c_str()
                                    : "the instance's answer cannot be read");
        return exit_refused;
    }
    if (FLAGS_json || requested.m_name == "dump") {
        std::printf("%s\n", body.dump(2).c_str());
    } else if (requested.m_name == "status") {
        print_status(body);
    } else if (requested.m_name == "get") {
        std::printf("%s\n", body["text"].get<std::string>().c_str());
        std::fprintf(stderr, "revision %s\n", body["revision"].dump().c_str());
    } else if (requested.m_name == "apply") {
        std::printf("applied as revision %s\n", body["revision"].dump().c_str());
    } else if (requested.m_name == "switch") {
        std::printf("switched\n");
    } else {
        std::printf("valid: %s groups\n", body["groups"].dump().c_str());
    }
    return 0;
}

/// Polls /revisions until every instance has put a revision in force, then exits the event loop.
class revision_waiter {
public:
    revision_waiter(reactor& loop, http2_client& client, std::uint64_t revision)
        : m_loop(loop), m_client(client), m_revision(revision),
          m_deadline(reactor::now() + milliseconds{FLAGS_timeout_ms}) {}

    void poll() {
        m_client.send({.m_method = "GET", .m_path = "/revisions"}, milliseconds{FLAGS_timeout_ms},
                      [this](const std::variant<http2_response, failure>& outcome) {
                          const auto* response = std::get_if<http2_response>(&outcome);
                          on_revisions(response != nullptr ? json::parse(response->m_body, nullptr, false)
                                                           : json());
                      });
    }

private:
    void on_revisions(const json& revisions) {
        std::string pending;
        for (const auto& [id, revision] : revisions.items()) {
            const bool in_force =
                revision.is_number_unsigned() && revision.get<std::uint64_t>() >= m_revision;
            pending += in_force ? "" : " " + id;
        }
        if (revisions.is_object() && pending.empty()) {
            std::printf("in force at %zu instances\n", revisions.size());
            QCoreApplication::exit(0);
        } else if (reactor::now() >= m_deadline) {
            std::fprintf(stderr, "not in force yet at:%s\n", pending.c_str());
            QCoreApplication::exit(exit_unavailable);
        } else {
            constexpr milliseconds poll_interval{100};
            m_loop.after(poll_interval, [this] { poll(); });
        }
    }

    reactor& m_loop;
    http2_client& m_client;
    std::uint64_t m_revision;
    steady_time m_deadline;
};

}

int main(int argc, char** argv) {
    if (const auto exit_code = load_settings_or_exit_code(settings(), usage, &argc, &argv)) {
        return *exit_code;
    }
    const auto requested = parse_command(argc, argv);
    if (const auto* exit_code = std::get_if<int>(&requested)) {
        return *exit_code;
    }
    // Selects Qt's own event dispatcher instead of the one based on GLib.
    qputenv("QT_NO_GLIB", "1");
    const QCoreApplication application(argc, argv);
    reactor loop;
    http2_client client(loop, parse_validated_endpoint(FLAGS_server));
    int exit_code = exit_unavailable;
    std::unique_ptr<revision_waiter> waiter;
    const command& chosen = std::get<command>(requested);
    loop.defer([&] {
        client.send(chosen.m_request, milliseconds{FLAGS_timeout_ms},
                    [&](std::variant<http2_response, failure> outcome) {
                        if (const auto* failed = std::get_if<failure>(&outcome)) {
                            std::fprintf(stderr, "no answer from %s: %s\n", FLAGS_server.c_str(),
                                         failed->m_message.c_str());
                        } else {
                            exit_code = print_response(chosen, std::get<http2_response>(outcome));
                        }
                        if (exit_code == 0 && chosen.m_name == "apply" && FLAGS_wait) {
                            const json body = json::parse(std::get<http2_response>(outcome).m_body);
                            waiter = std::make_unique<revision_waiter>(
                                loop, client, body["revision"].get<std::uint64_t>());
                            waiter->poll();
                            return;
                        }
                        QCoreApplication::exit(exit_code);
                    });
    });
    return QCoreApplication::exec();
}
