/// \file main.cpp
/// The fault soak: runs gateway processes on loopback, injects random faults that
/// are determined by a seed, and checks the consistency guarantees throughout. Exits
/// with code 1 if a guarantee was violated, a gateway ended unexpectedly, or a
/// database was not served again after the faults.
#include "soak/soak_fleet.hpp"
#include "soak/soak_schedule.hpp"

#include "anvilmount/base/settings.hpp"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <cstdio>
#include <filesystem>

DEFINE_int32(seed, 1, "seed of the random fault schedule");
DEFINE_int32(seconds, 60, "duration of the faults");
DEFINE_int32(gateways, 4, "number of gateway processes");
DEFINE_int32(groups, 2, "number of database groups, each with three upstreams");
DEFINE_int32(callers, 24, "number of concurrent callers");
DEFINE_int32(port, 23000, "first port of the range that is used");
DEFINE_string(gateway, "", "path of the gateway program to run; empty for the one of this build");
DEFINE_string(directory, "/tmp/anvilmount-soak",
              "directory for settings and logs; its contents are deleted at the start");

namespace {

using namespace anvilmount;
using test::soak_event;
using test::soak_fault;

/// Time after the start within which all gateways must be ready.
constexpr milliseconds start_timeout{30000};
constexpr milliseconds readiness_interval{200};

/// Time after the last fault within which every database must be served again: twice the time that a
/// failover takes when it has to wait for a lease to expire.
constexpr milliseconds recovery_timeout{25000};

/// Every database must have a successful statement within this last part of the run.
constexpr milliseconds served_window{6000};

constexpr milliseconds configuration_interval{150};
constexpr milliseconds series_interval{400};

/// Runs one soak: waits for the gateways, injects the scheduled faults and checks recovery.
class soak_run {
public:
    soak_run(reactor& loop, test::soak_fleet& fleet) : m_loop(loop), m_fleet(fleet) {}

    void begin() {
        m_loop.after(start_timeout, [this] {
            if (!m_started) {
                m_fleet.ledger().report("not all gateways were ready within 30 s of the start");
                QCoreApplication::quit();
            }
        });
        wait_until_ready();
    }

private:
    void wait_until_ready() {
        m_fleet.count_ready([this](int ready) {
            if (ready < m_fleet.options().m_gateways) {
                m_loop.after(readiness_interval, [this] { wait_until_ready(); });
                return;
            }
            m_started = true;
            m_fleet.start_callers();
            schedule_faults();
        });
    }

    void schedule_faults() {
        const milliseconds duration = std::chrono::seconds{FLAGS_seconds};
        milliseconds last = duration;
        const auto events = test::draw_schedule(static_cast<std::uint32_t>(FLAGS_seed),
                                                {.m_gateways = m_fleet.options().m_gateways,
                                                 .m_upstreams = m_fleet.upstreams(),
                                                 .m_duration = duration});
        for (const soak_event& each : events) {
            last = std::max(last, each.m_at + each.m_active_time);
            m_loop.after(each.m_at, [this, each] {
                std::printf("%7lld ms %s %d for %lld ms\n", static_cast<long long>(each.m_at.count()),
                            name_of(each.m_fault).c_str(), each.m_target,
                            static_cast<long long>(each.m_active_time.count()));
                std::fflush(stdout);
                start_fault(each);
            });
            m_loop.after(each.m_at + each.m_active_time, [this, each] { end_fault(each); });
        }
        m_loop.after(last + recovery_timeout - served_window, [this] { record_successes(); });
        m_loop.after(last + recovery_timeout, [this] { finish(); });
    }

    void start_fault(const soak_event& what) {
        const int target = what.m_target;
        switch (what.m_fault) {
        case soak_fault::kill:
            return m_fleet.kill_gateway(target);
        case soak_fault::kill_all:
            return for_all_gateways([this](int each) { m_fleet.kill_gateway(each); });
        case soak_fault::pause:
            return m_fleet.pause_gateway(target);
        case soak_fault::stop:
            return m_fleet.stop_gateway(target);
        case soak_fault::reload:
            return m_fleet.reload_gateway(target);
        case soak_fault::store_refuses:
            return m_fleet.store().set_faults({.m_refuses = true});
        case soak_fault::store_silent:
            return m_fleet.store().set_faults({.m_silent = true});
        case soak_fault::store_slow:
            return m_fleet.store().set_faults({.m_slowdown_factor = 60});
        case soak_fault::store_loses:
            return m_fleet.store().set_faults({.m_answer_loss_rate = 0.3});
        case soak_fault::store_forgets:
            return m_fleet.store().forget_history();
        case soak_fault::store_restored:
            return m_fleet.store().set_faults({.m_silent = true});
        case soak_fault::store_path_cut:
            return m_fleet.set_store_path_faults(target, {.m_cut = true});
        case soak_fault::store_path_mute:
            return m_fleet.set_store_path_faults(target, {.m_drop_answers = true});
        case soak_fault::upstream_down:
            return m_fleet.set_upstream_faults(target, {.m_down = true});
        case soak_fault::upstream_silent:
            return m_fleet.set_upstream_path_faults(target, {.m_stall = true});
        case soak_fault::upstream_mute:
            return m_fleet.set_upstream_path_faults(target, {.m_drop_answers = true});
        case soak_fault::upstream_delayed:
            return m_fleet.set_upstream_path_faults(target, {.m_delay = milliseconds{150}});
        case soak_fault::upstream_reset:
            return m_fleet.set_upstream_path_faults(target, {.m_cut = true});
        case soak_fault::upstream_slow:
            return m_fleet.set_upstream_faults(target, {.m_slowdown_factor = 5});
        case soak_fault::answers_lost:
            return m_fleet.set_upstream_faults(target, {.m_answer_loss_rate = 0.05});
        case soak_fault::replica_lags:
            return m_fleet.set_upstream_faults(target, {.m_extra_lag = milliseconds{2000}});
        case soak_fault::store_late:
            return m_fleet.store().set_faults({.m_late_rate = 0.35});
        case soak_fault::confirmed_pause:
            return m_fleet.pause_next_confirmed();
        case soak_fault::instance_refused:
            return m_fleet.set_isolation_faults(target, {.m_refuse = true});
        case soak_fault::instance_silent:
            return m_fleet.set_isolation_faults(target, {.m_stall = true});
        case soak_fault::primary_drains:
            return m_fleet.drain_primary(target);
        case soak_fault::primary_refuses:
            return m_fleet.refuse_primary(target);
        case soak_fault::configuration:
            for (int number = 0; number < 3; ++number) {
                m_loop.after(configuration_interval * number, [this] { m_fleet.change_configuration(); });
            }
            return;
        case soak_fault::configuration_series:
            for (milliseconds at{0}; at < what.m_active_time; at += series_interval) {
                m_loop.after(at, [this] { m_fleet.change_placement(); });
            }
        }
    }

    void end_fault(const soak_event& what) {
        const int target = what.m_target;
        switch (what.m_fault) {
        case soak_fault::kill:
            m_fleet.restart_gateway(target);
            break;
        case soak_fault::kill_all:
            for_all_gateways([this](int each) { m_fleet.restart_gateway(each); });
            break;
        case soak_fault::pause:
            m_fleet.resume_gateway(target);
            break;
        case soak_fault::stop:
        case soak_fault::reload:
        case soak_fault::configuration:
            return;
        case soak_fault::store_refuses:
        case soak_fault::store_silent:
        case soak_fault::store_slow:
        case soak_fault::store_loses:
        case soak_fault::store_forgets:
        case soak_fault::store_late:
            m_fleet.store().set_faults({});
            break;
        case soak_fault::configuration_series:
            return m_fleet.restore_placement();
        case soak_fault::confirmed_pause:
            m_fleet.resume_confirmed();
            break;
        case soak_fault::store_restored:
            m_fleet.store().set_faults({});
            // Twice the time that it was away, at least a second.
            m_fleet.restore_store(milliseconds{1000} + what.m_active_time * 2);
            break;
        case soak_fault::store_path_cut:
        case soak_fault::store_path_mute:
            m_fleet.set_store_path_faults(target, {});
            break;
        case soak_fault::instance_refused:
        case soak_fault::instance_silent:
            m_fleet.set_isolation_faults(target, {});
            break;
        case soak_fault::primary_drains:
            return m_fleet.end_drains();
        case soak_fault::primary_refuses:
            m_fleet.end_refusals();
            break;
        case soak_fault::upstream_silent:
        case soak_fault::upstream_mute:
        case soak_fault::upstream_delayed:
        case soak_fault::upstream_reset:
            m_fleet.set_upstream_path_faults(target, {});
            break;
        case soak_fault::upstream_down:
        case soak_fault::upstream_slow:
        case soak_fault::answers_lost:
        case soak_fault::replica_lags:
            m_fleet.set_upstream_faults(target, {});
            break;
        }
    }

    template <class Action>
    void for_all_gateways(Action action) {
        for (int each = 0; each < m_fleet.options().m_gateways; ++each) {
            action(each);
        }
    }

    void record_successes() {
        for (const test::soak_route& each : m_fleet.routes()) {
            m_successes[each.m_database] = m_fleet.ledger().successes(each.m_database);
        }
    }

    void finish() {
        for (const test::soak_route& each : m_fleet.routes()) {
            if (m_fleet.ledger().successes(each.m_database) == m_successes[each.m_database]) {
                m_fleet.ledger().report("not served again after the faults: " + each.m_database);
            }
        }
        m_fleet.stop_callers();
        m_fleet.end_gateways();
        QCoreApplication::quit();
    }

    reactor& m_loop;
    test::soak_fleet& m_fleet;
    std::map<std::string, std::uint64_t> m_successes;
    bool m_started{false};
};

std::vector<setting> settings() {
    constexpr long max_seconds = 36000;
    constexpr long max_gateways = 40;
    constexpr long max_groups = 8;
    constexpr long max_callers = 2000;
    constexpr long max_port = 64000;
    return {{"seed", "Run", "0 to 2000000000", integer_between(0, 2000000000)},
            {"seconds", "Run", "1 to 36000 s", integer_between(1, max_seconds)},
            {"gateways", "Size", "1 to 40", integer_between(1, max_gateways)},
            {"groups", "Size", "1 to 8", integer_between(1, max_groups)},
            {"callers", "Size", "1 to 2000", integer_between(1, max_callers)},
            {"port", "Addresses", "1024 to 64000", integer_between(1024, max_port)},
            {"gateway", "Files", "path of a program", [](const std::string&) { return true; }},
            {"directory", "Files", "path of a folder that may be emptied",
             [](const std::string& path) { return !path.empty(); }}};
}

}

int main(int argc, char** argv) {
    if (const auto exit_code = load_settings_or_exit_code(
            settings(),
            "soak: injects faults into running gateways and checks their consistency guarantees", &argc,
            &argv)) {
        return *exit_code;
    }
    qputenv("QT_NO_GLIB", "1");
    const QCoreApplication application(argc, argv);
    std::filesystem::remove_all(FLAGS_directory);
    std::filesystem::create_directories(FLAGS_directory);
    reactor loop;
    test::soak_fleet fleet(
        loop,
        {.m_seed = static_cast<std::uint32_t>(FLAGS_seed),
         .m_gateways = FLAGS_gateways,
         .m_groups = FLAGS_groups,
         .m_callers = FLAGS_callers,
         .m_gateway_program = FLAGS_gateway.empty() ? test::program("anvilmount-gateway") : FLAGS_gateway,
         .m_directory = FLAGS_directory,
         .m_first_port = FLAGS_port});
    if (const auto failed = failure_of([&] { return fleet.start(); })) {
        std::fprintf(stderr, "error %d: %s\n", number_of(failed->m_code), failed->m_message.c_str());
        return 1;
    }
    soak_run run(loop, fleet);
    run.begin();
    QCoreApplication::exec();
    for (const std::string& each : fleet.ledger().violations()) {
        std::printf("BROKEN %s\n", each.c_str());
    }
    for (const auto& [excuse, count] : fleet.ledger().excused()) {
        std::printf("%d statements without an answer, gateway %s\n", count, excuse.c_str());
    }
    for (const test::reset_start& each : fleet.ledger().reset_starts()) {
        const std::string connected =
            each.m_connected_after ? std::to_string(each.m_connected_after->count()) + " ms" : "unseen";
        std::printf("connection reset before any line %lld ms after SIGTERM, connected %s\n",
                    static_cast<long long>(each.m_reset_after.count()), connected.c_str());
    }
    std::uint64_t served = 0;
    for (const test::soak_route& each : fleet.routes()) {
        served += fleet.ledger().successes(each.m_database);
    }
    std::printf("seed %d: %llu statements served, %llu sessions ended by half-close, %zu starts reset, "
                "%zu promises broken\n",
                FLAGS_seed, static_cast<unsigned long long>(served),
                static_cast<unsigned long long>(fleet.half_closes()), fleet.ledger().reset_starts().size(),
                fleet.ledger().violations().size());
    return fleet.ledger().violations().empty() ? 0 : 1;
}
