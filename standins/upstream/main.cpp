/// \file main.cpp
/// standin-upstream: one upstream of a database group, for tests.
#include "upstream/upstream_server.hpp"

#include "anvilmount/base/settings.hpp"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(name, "upstream", "name of this upstream");
DEFINE_string(listen, "127.0.0.1:5501", "address for connections");
DEFINE_bool(primary, false, "start as primary of term 1");
DEFINE_string(follow, "", "address of the primary to follow");
DEFINE_int32(connection_limit, 20, "maximum number of concurrent connections");
DEFINE_int32(slots, 0, "statements that run at once; 0: as many as connections");
DEFINE_int32(connect_ms, 10, "time to open a connection");
DEFINE_int32(service_us, 0, "time that a statement takes");
DEFINE_int32(lag_ms, 0, "replication lag");

namespace {

using namespace anvilmount;

constexpr long max_value = 1000000;

std::vector<setting> settings() {
    const auto any = [](const std::string&) { return true; };
    return {{"name", "Identity", "letters, digits, '-', '_' and '.'", plain_name()},
            {"listen", "Addresses", "IP:PORT", endpoint_text(false)},
            {"follow", "Addresses", "IP:PORT or empty", endpoint_text(true)},
            {"primary", "Role", "true or false", any},
            {"connection_limit", "Limits", "1 to 1000000 connections", integer_between(1, max_value)},
            {"slots", "Limits", "0 to 1000000 statements", integer_between(0, max_value)},
            {"connect_ms", "Times", "0 to 1000000 ms", integer_between(0, max_value)},
            {"service_us", "Times", "0 to 1000000 us", integer_between(0, max_value)},
            {"lag_ms", "Times", "0 to 1000000 ms", integer_between(0, max_value)}};
}

}

int main(int argc, char** argv) {
    if (const auto exit_code = load_settings_or_exit_code(
            settings(), "standin-upstream: a small database for tests", &argc, &argv)) {
        return *exit_code;
    }
    qputenv("QT_NO_GLIB", "1");
    const QCoreApplication application(argc, argv);
    reactor loop;
    standin::upstream_options options{.m_name = FLAGS_name,
                                      .m_listen = parse_validated_endpoint(FLAGS_listen),
                                      .m_primary = FLAGS_primary,
                                      .m_follow = {},
                                      .m_connection_limit = FLAGS_connection_limit,
                                      .m_slots = FLAGS_slots,
                                      .m_connect_time = milliseconds{FLAGS_connect_ms},
                                      .m_service_time = microseconds{FLAGS_service_us},
                                      .m_lag = milliseconds{FLAGS_lag_ms}};
    if (!FLAGS_follow.empty()) {
        options.m_follow = parse_validated_endpoint(FLAGS_follow);
    }
    standin::upstream_server server(loop, std::move(options));
    if (const auto failed = failure_of([&] { return server.start(); })) {
        std::fprintf(stderr, "%s\n", failed->m_message.c_str());
        return 1;
    }
    std::puts("ready");
    std::fflush(stdout);
    return QCoreApplication::exec();
}
