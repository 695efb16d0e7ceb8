/// \file main.cpp
/// Sets the platform stand-in's instance list and faults from a script.
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
    "standin-ctl instances FILE | fault JSON | counts: sets up the platform stand-in";

std::optional<http2_request> request_from(int argc, char** argv) {
    const std::string what = argc > 1 ? argv[1] : "";
    http2_request request{.m_method = "POST", .m_path = "/admin/" + what};
    if (what == "counts" && argc == 2) {
        return request;
    }
    if (what == "fault" && argc == 3) {
        request.m_body = argv[2];
        return request;
    }
    if (what == "instances" && argc == 3) {
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
    const auto request = report.m_exit_code ? std::nullopt : request_from(argc, argv);
    if (!request) {
        std::fprintf(stderr, "%s\n%s\n", usage, report.m_output.c_str());
        return report.m_exit_code.value_or(2);
    }
    qputenv("QT_NO_GLIB", "1");
    const QCoreApplication application(argc, argv);
    reactor loop;
    http2_client client(loop, parse_validated_endpoint(FLAGS_server));
    loop.defer([&] {
        constexpr milliseconds longest_wait{5000};
        client.send(*request, longest_wait, [](std::variant<http2_response, failure> got) {
            const auto* answer = std::get_if<http2_response>(&got);
            constexpr int status_ok = 200;
            const bool good = answer != nullptr && answer->m_status == status_ok;
            std::puts(good ? answer->m_body.c_str() : "the platform stand-in did not accept this");
            QCoreApplication::exit(good ? 0 : 1);
        });
    });
    return QCoreApplication::exec();
}
