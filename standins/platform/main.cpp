/// \file main.cpp
/// standin-platform: the platform's table service, object store and instance list,
/// for tests. standin-ctl controls it.
#include "platform/platform_store.hpp"

#include "anvilmount/base/settings.hpp"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(listen, "127.0.0.1:5400", "address for requests");
DEFINE_int32(list_lag_ms, 0, "delay until a new instance list is served");

int main(int argc, char** argv) {
    using namespace anvilmount;
    constexpr long max_lag = 600000;
    const std::vector<setting> settings{
        {"listen", "Addresses", "IP:PORT", endpoint_text(false)},
        {"list_lag_ms", "Faults", "0 to 600000 ms", integer_between(0, max_lag)}};
    if (const auto exit_code = load_settings_or_exit_code(
            settings, "standin-platform: table service, object store and instance list", &argc, &argv)) {
        return *exit_code;
    }
    qputenv("QT_NO_GLIB", "1");
    const QCoreApplication application(argc, argv);
    reactor loop;
    standin::platform_store store(loop, {.m_listen = parse_validated_endpoint(FLAGS_listen),
                                         .m_list_lag = milliseconds{FLAGS_list_lag_ms}});
    if (const auto failed = failure_of([&] { return store.start(); })) {
        std::fprintf(stderr, "%s\n", failed->m_message.c_str());
        return 1;
    }
    std::puts("ready");
    std::fflush(stdout);
    return QCoreApplication::exec();
}
