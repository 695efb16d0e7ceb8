/// \file main.cpp
/// The daemon that runs one entry instance: validates the settings, starts the instance, and drains it
/// before exiting on SIGTERM or SIGINT.
#include "anvilmount/base/settings.hpp"
#include "anvilmount/node/instance.hpp"
#include "anvilmount/observe/event_log.hpp"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <random>

DEFINE_string(id, "", "name of this instance, unique in the fleet");
DEFINE_string(data_centre, "", "data centre that this instance runs in");
DEFINE_string(callers, "127.0.0.1:5432", "address that accepts callers");
DEFINE_string(peers, "127.0.0.1:5433",
              "address that accepts other instances; it must be reachable from them");
DEFINE_string(operators, "127.0.0.1:5434", "address that accepts requests from operators");
DEFINE_string(platform, "127.0.0.1:5400", "address of the platform's services");
DEFINE_int32(shards, 2, "threads that serve callers and upstreams");
DEFINE_int32(most_callers, 20000, "maximum number of simultaneous caller connections");
DEFINE_string(server_version, "15.0", "PostgreSQL server version reported to callers");
DEFINE_int32(platform_pace_ms, 1000, "interval between two polls of the platform");
DEFINE_int32(leave_ms, 30000, "timeout for leaving, which drains callers before exit");
DEFINE_string(log_level, "info", "minimum level of logged events");

namespace {

using namespace anvilmount;

constexpr long max_shards = 64;
constexpr long max_callers = 1000000;
constexpr long max_ms = 3600000;

std::vector<setting> settings() {
    return {{"id", "Identity", "1 to 64 letters, digits, '-', '_' and '.'", plain_name()},
            {"data_centre", "Identity", "1 to 64 letters, digits, '-', '_' and '.'", plain_name()},
            {"callers", "Addresses", "IP:PORT", endpoint_text(false)},
            {"peers", "Addresses", "IP:PORT", endpoint_text(false)},
            {"operators", "Addresses", "IP:PORT", endpoint_text(false)},
            {"platform", "Addresses", "IP:PORT", endpoint_text(false)},
            {"shards", "Limits", "1 to 64 threads", integer_between(1, max_shards)},
            {"most_callers", "Limits", "1 to 1000000 connections", integer_between(1, max_callers)},
            {"server_version", "Callers", "1 to 64 letters, digits, '-', '_' and '.'", plain_name()},
            {"platform_pace_ms", "Times", "100 to 3600000 ms", integer_between(100, max_ms)},
            {"leave_ms", "Times", "0 to 3600000 ms", integer_between(0, max_ms)},
            {"log_level", "Logs", "debug, info, warning or error",
             one_of({"debug", "info", "warning", "error"})}};
}

/// Blocks SIGTERM and SIGINT and returns a signalfd that reports them to the event loop.
int block_termination_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    return signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
}

}

int main(int argc, char** argv) {
    if (const auto exit_code = load_settings_or_exit_code(
            settings(), "anvilmountd: an entry instance of anvilmount", &argc, &argv)) {
        return *exit_code;
    }
    // Before any thread starts, so that every thread inherits the signal mask.
    const int signals = block_termination_signals();
    // Selects Qt's own event dispatcher instead of the one based on GLib.
    qputenv("QT_NO_GLIB", "1");
    const QCoreApplication application(argc, argv);
    start_event_log({.m_process_name = "anvilmountd." + FLAGS_id, .m_threshold = FLAGS_log_level});
    int exit_code = 0;
    {
        reactor loop;
        instance node(loop, {.m_id = {FLAGS_id},
                             .m_data_centre = {FLAGS_data_centre},
                             .m_caller_address = parse_validated_endpoint(FLAGS_callers),
                             .m_peer_address = parse_validated_endpoint(FLAGS_peers),
                             .m_operator_address = parse_validated_endpoint(FLAGS_operators),
                             .m_platform_address = parse_validated_endpoint(FLAGS_platform),
                             .m_shards = static_cast<std::size_t>(FLAGS_shards),
                             .m_max_callers = static_cast<std::size_t>(FLAGS_most_callers),
                             .m_server_version = FLAGS_server_version,
                             .m_platform_poll_interval = milliseconds{FLAGS_platform_pace_ms},
                             .m_seed = std::random_device{}()});
        if (const auto failed = failure_of([&] { return node.start(); })) {
            std::fprintf(stderr, "error %d: %s\n", number_of(failed->m_code), failed->m_message.c_str());
            return 1;
        }
        loop.watch(signals, EPOLLIN, [&](std::uint32_t) {
            loop.unwatch(signals);
            node.leave(milliseconds{FLAGS_leave_ms}, [] { QCoreApplication::quit(); });
        });
        log_event(log_level::info, "instance.started",
                  {{"callers", FLAGS_callers}, {"peers", FLAGS_peers}});
        exit_code = QCoreApplication::exec();
        log_event(log_level::info, "instance.stopped", {{"instance", FLAGS_id}});
    }
    close(signals);
    return exit_code;
}
