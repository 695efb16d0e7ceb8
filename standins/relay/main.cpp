/// \file main.cpp
/// standin-relay: TCP relay that injects faults, for tests.
#include "relay/fault_relay.hpp"

#include "anvilmount/base/settings.hpp"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(listen, "127.0.0.1:6000", "address for connections");
DEFINE_string(target, "127.0.0.1:6001", "address to which connections are forwarded");
DEFINE_string(control, "127.0.0.1:6002", "address for requests that set faults");

int main(int argc, char** argv) {
    using namespace anvilmount;
    const std::vector<setting> settings{{"listen", "Addresses", "IP:PORT", endpoint_text(false)},
                                        {"target", "Addresses", "IP:PORT", endpoint_text(false)},
                                        {"control", "Addresses", "IP:PORT", endpoint_text(false)}};
    if (const auto exit_code =
            load_settings_or_exit_code(settings, "standin-relay: TCP relay with faults", &argc, &argv)) {
        return *exit_code;
    }
    qputenv("QT_NO_GLIB", "1");
    const QCoreApplication application(argc, argv);
    reactor loop;
    standin::fault_relay relay(loop, {.m_listen = parse_validated_endpoint(FLAGS_listen),
                                      .m_target = parse_validated_endpoint(FLAGS_target),
                                      .m_control = parse_validated_endpoint(FLAGS_control)});
    if (const auto failed = failure_of([&] { return relay.start(); })) {
        std::fprintf(stderr, "%s\n", failed->m_message.c_str());
        return 1;
    }
    std::puts("ready");
    std::fflush(stdout);
    return QCoreApplication::exec();
}
