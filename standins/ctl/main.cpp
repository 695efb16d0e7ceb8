/// \file main.cpp
/// Command-line client of standin-platform for scripts: sets the instance list
/// and the faults, and prints the request counts.
#include "anvilmount/base/settings.hpp"
#include "anvilmount/wire/http2_exchange.hpp"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <sstream>

DEFINE_string(server, "127.0.0.1:5400", "address of the platform stand-in");

namespace {

using namespace anvilmount;

constexpr const char* usage =
    "standin-ctl instances FILE | fault JSON | counts: controls the platform stand-in";

/// Returns the admin request that the command line asks for, or nothing on wrong usage.
std::optional<http2_request> parse_command(int argc, char** argv) {
    const std::string command = argc > 1 ? argv[1] : "";
    http2_request request{.m_method = "POST", .m_path = "/admin/" + command};
    if (command == "counts" && argc == 2) {
        return request;
    }
    if (command == "fault" && argc == 3) {
        request.m_body = argv[2];
        return request;
    }
    if (command == "instances" && argc == 3) {
        const std::ifstream file(argv[2]);
        std::ostringstream text;
        text << file.rdbuf();
        request.m_body = text.str();
        return request;
    }
    return std::nullopt;
}

}

int main(int argc, char** argv) {
    const settings_load_result report =
        load_settings({{"server", "Connection", "IP:PORT", endpoint_text(false)}}, usage, &argc, &argv);
    const auto request = report.m_exit_code ? std::nullopt : parse_command(argc, argv);
    if (!request) {
        std::fprintf(stderr, "%s\n%s\n", usage, report.m_output.c_str());
        return report.m_exit_code.value_or(2);
    }
    qputenv("QT_NO_GLIB", "1");
    const QCoreApplication application(argc, argv);
    reactor loop;
    http2_client client(loop, parse_validated_endpoint(FLAGS_server));
    loop.defer([&] {
        constexpr milliseconds request_timeout{5000};
        client.send(*request, request_timeout, [](std::variant<http2_response, failure> outcome) {
            const auto* answer = std::get_if<http2_response>(&outcome);
            constexpr int status_ok = 200;
            const bool accepted = answer != nullptr && answer->m_status == status_ok;
            std::puts(accepted ? answer->m_body.c_str()
                               : "the platform stand-in did not answer or rejected the request");
            QCoreApplication::exit(accepted ? 0 : 1);
        });
    });
    return QCoreApplication::exec();
}
