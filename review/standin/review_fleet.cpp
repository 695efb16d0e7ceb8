/// \file review_fleet.cpp
/// Starts the stand-ins, writes settings, registrations and the configuration, and signals the gateways.
#include "review_fleet.hpp"

#include <nlohmann/json.hpp>

#include <csignal>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <utility>

namespace review {
namespace {

using namespace anvilmount;
using nlohmann::json;

/// As in the sheet of karoo-pegpool.
constexpr const char* service = "orders-db";
constexpr int slots = 3;
constexpr int max_connections = 21;
constexpr int initial_upstreams = 3;

/// Port offsets from fleet_options::m_first_port.
constexpr int upstream_ports = 10;
constexpr int upstream_path_ports = 25;
constexpr int store_path_ports = 40;
constexpr int promotion_path_ports = 50;
constexpr int gateway_ports = 60;
constexpr int ports_per_gateway = 5;

enum gateway_port { callers, readiness, peers, store_relay, metrics };

/// Gateways reach each other at this address, where relays listen in their place.
constexpr const char* advertised_host = "127.0.0.2";

std::string upstream_id(int number) {
    return "up-" + std::to_string(number);
}

std::string gateway_name(int number) {
    return "frontend-" + std::to_string(number);
}

}

review_fleet::review_fleet(reactor& loop, fleet_options options, fleet_events events)
    : m_loop(loop), m_options(std::move(options)), m_events(std::move(events)), m_started(reactor::now()),
      m_upstreams(loop, 1,
                  {.m_on_execution =
                       [this](const standin::line_execution& what) {
                           if (m_events.m_on_execution) {
                               m_events.m_on_execution(what);
                           }
                       },
                   .m_on_commit =
                       [this](const std::string& upstream, const auto& what) {
                           if (m_events.m_on_commit) {
                               m_events.m_on_commit(upstream, *what);
                           }
                       },
                   .m_on_role_change =
                       [this](const std::string& upstream) {
                           record("upstream " + upstream + " is now " +
                                  (m_upstreams.is_primary(upstream) ? "primary" : "replica"));
                           publish(upstream);
                           if (m_events.m_on_role_change) {
                               m_events.m_on_role_change(upstream);
                           }
                       }}),
      m_store(loop, 1, [this](const standin::promotion_request& order) {
          record("platform: POST /promote of " + order.m_candidate + " by " + order.m_holder +
                 ", X-Fencing-Token " + std::to_string(order.m_token));
          if (m_events.m_on_promotion) {
              m_events.m_on_promotion(order);
          }
          return m_upstreams.promote(order.m_group, order.m_candidate);
      }) {
    m_store.set_write_observer(
        [this](const std::string& table, const std::string& key, const std::string& value) {
            if (m_events.m_on_row) {
                m_events.m_on_row(table, key, value);
            }
        });
}

void review_fleet::record(const std::string& line) const {
    std::printf("%7lld %s\n", static_cast<long long>(elapsed().count()), line.c_str());
    std::fflush(stdout);
}

milliseconds review_fleet::elapsed() const {
    return std::chrono::duration_cast<milliseconds>(reactor::now() - m_started);
}

endpoint review_fleet::local(int offset) const {
    return {.m_address = "127.0.0.1",
            .m_port = static_cast<std::uint16_t>(m_options.m_first_port + offset)};
}

endpoint review_fleet::upstream_address(int number) const {
    return local(upstream_ports + number);
}

endpoint review_fleet::advertised_upstream_address(int number) const {
    return local(upstream_path_ports + number);
}

result<void> review_fleet::add_grey_path(int number) {
    m_grey_paths.push_back(
        std::make_unique<grey_path>(m_loop, advertised_upstream_address(number), upstream_address(number),
                                    [this, number](const std::string& line) {
                                        record("upstream " + upstream_id(number) + " fails: " + line);
                                    }));
    return m_grey_paths.back()->start();
}

void review_fleet::set_grey(const std::string& upstream, double share) {
    record("upstream " + upstream + " fails " + std::to_string(share) + " of its requests");
    m_grey_paths.at(std::stoul(upstream.substr(upstream.find('-') + 1)))->set_share(share);
}

endpoint review_fleet::caller_address(int number) const {
    return local(gateway_ports + number * ports_per_gateway + callers);
}

result<void> review_fleet::start() {
    for (int number = 0; number < initial_upstreams; ++number) {
        BOOST_LEAF_CHECK(m_upstreams.add({.m_id = upstream_id(number),
                                          .m_group = service,
                                          .m_listen = upstream_address(number),
                                          .m_slots = slots,
                                          .m_max_connections = max_connections,
                                          .m_is_primary = number == 0}));
        BOOST_LEAF_CHECK(add_grey_path(number));
        ++m_upstream_count;
    }
    BOOST_LEAF_CHECK(m_store.listen(local(0)));
    write_all();
    for (int number = 0; number < m_options.m_gateways; ++number) {
        for (auto [paths, offset] :
             {std::pair{&m_store_paths, store_path_ports}, {&m_promotion_paths, promotion_path_ports}}) {
            paths->push_back(std::make_unique<standin::fault_relay>(
                m_loop, standin::relay_options{.m_listen = local(offset + number), .m_target = local(0)}));
            BOOST_LEAF_CHECK(paths->back()->start());
        }
        for (const int port : {readiness, peers, store_relay}) {
            const endpoint target = local(gateway_ports + number * ports_per_gateway + port);
            m_peer_paths.push_back(std::make_unique<standin::fault_relay>(
                m_loop,
                standin::relay_options{.m_listen = {.m_address = advertised_host, .m_port = target.m_port},
                                       .m_target = target}));
            BOOST_LEAF_CHECK(m_peer_paths.back()->start());
        }
        write_settings(number);
    }
    return {};
}

/// The lines of deploy/settings.template, with the values of a small deployment.
void review_fleet::write_settings(int number) const {
    std::ofstream file(m_options.m_directory + "/gateway-" + std::to_string(number) + ".flags");
    const auto line = [&](const std::string& name, const std::string& value) {
        file << "--" << name << "=" << value << "\n";
    };
    const auto own = [&](int port) {
        return to_string(local(gateway_ports + number * ports_per_gateway + port));
    };
    line("name", gateway_name(number));
    line("data_centre", number % 2 == 0 ? "gt-a" : "gt-b");
    line("callers", own(callers));
    line("readiness", own(readiness));
    line("peers", own(peers));
    line("store_relay", own(store_relay));
    line("advertised_host", advertised_host);
    line("seeds",
         std::string(advertised_host) + ":" + std::to_string(local(gateway_ports + store_relay).m_port));
    line("metrics", own(metrics));
    line("store", to_string(local(store_path_ports + number)));
    line("promotion", to_string(local(promotion_path_ports + number)));
    line("feed_wait_ms", "7000");
    line("drain_limit_ms", "7000");
    line("grace_s", std::to_string(m_options.m_grace_s));
    line("processor_share", "0.25");
    line("most_descriptors", "4300");
    line("memory_mb", std::to_string(m_options.m_memory_mb));
}

void review_fleet::write_all() {
    write_configuration();
    for (int number = 0; number < m_upstream_count; ++number) {
        publish(upstream_id(number));
    }
}

void review_fleet::write_configuration() {
    const json routes = json::array({{{"host", "order-commit"},
                                      {"service", service},
                                      {"type", "primary"},
                                      {"priority", 0},
                                      {"timeoutMs", 1000},
                                      {"targetLatencyMs", 200}},
                                     {{"host", "stock-lookup"},
                                      {"service", service},
                                      {"type", "bounded_staleness"},
                                      {"maxStalenessMs", 1500},
                                      {"priority", 2},
                                      {"timeoutMs", 2000},
                                      {"targetLatencyMs", 1200}}});
    m_store.put("op", "config",
                json{{"version", 7},
                     {"routes", routes},
                     {"services", json::array({{{"name", service}, {"maxConnections", max_connections}}})},
                     {"limits", {{"txIdleMs", 5000}}}}
                    .dump());
}

void review_fleet::publish(const std::string& upstream) {
    if (m_removed.contains(upstream)) {
        m_store.drop("servers", upstream);
        return;
    }
    const int number = std::stoi(upstream.substr(upstream.find('-') + 1));
    m_store.put("servers", upstream,
                json{{"service", service},
                     {"address", to_string(advertised_upstream_address(number))},
                     {"zone", number % 2 == 0 ? "gt-a" : "gt-b"},
                     {"version", "1"},
                     {"capacity", slots},
                     {"state", m_draining.contains(upstream) ? "draining" : "ready"},
                     {"coldRemainingMs", 0},
                     {"sequence", 1},
                     {"born", 1},
                     {"dbRole", m_upstreams.is_primary(upstream) ? "primary" : "replica"}}
                    .dump());
}

void review_fleet::add_upstream() {
    const int number = m_upstream_count++;
    const auto failed = failure_of([&]() -> result<void> {
        BOOST_LEAF_CHECK(m_upstreams.add({.m_id = upstream_id(number),
                                          .m_group = service,
                                          .m_listen = upstream_address(number),
                                          .m_slots = slots,
                                          .m_max_connections = max_connections}));
        return add_grey_path(number);
    });
    if (failed) {
        record("error: " + failed->m_message);
        return;
    }
    record("upstream " + upstream_id(number) + " is added");
    publish(upstream_id(number));
}

void review_fleet::drain(const std::string& upstream) {
    record("upstream " + upstream + " reports that it is draining");
    m_draining.insert(upstream);
    publish(upstream);
}

void review_fleet::remove(const std::string& upstream) {
    record("upstream " + upstream + " has left");
    m_upstreams.set_faults(upstream, {.m_down = true});
    m_removed.insert(upstream);
    publish(upstream);
}

void review_fleet::start_gateway(int number) const {
    record("starts " + gateway_name(number));
    const std::ofstream request(m_options.m_directory + "/start-" + std::to_string(number));
}

bool review_fleet::signal_gateway(int number, int signal) const {
    std::ifstream file(m_options.m_directory + "/gateway-" + std::to_string(number) + ".pid");
    pid_t process = 0;
    const bool sent = (file >> process) && process > 1 && kill(process, signal) == 0;
    record("signal " + std::to_string(signal) + " to " + gateway_name(number) + (sent ? "" : " failed"));
    return sent;
}

int review_fleet::memory_mb(int number) const {
    std::ifstream file(m_options.m_directory + "/gateway-" + std::to_string(number) + ".pid");
    std::string process;
    file >> process;
    std::ifstream status("/proc/" + process + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoi(line.substr(line.find_first_of("0123456789"))) / 1024;
        }
    }
    return 0;
}

int review_fleet::gateway_number(const std::string& name) const {
    for (int number = 0; number < m_options.m_gateways; ++number) {
        if (gateway_name(number) == name) {
            return number;
        }
    }
    return -1;
}

void review_fleet::cut_gateways_from_each_other(bool cut) {
    for (const auto& path : m_peer_paths) {
        path->set_faults({.m_stall = cut});
    }
}

void review_fleet::count_ready(int count, std::function<void(int ready)> done) {
    struct inquiry {
        int m_ready{0};
        int m_pending{0};
        std::vector<std::shared_ptr<tcp_stream>> m_streams{};
    };
    const auto asked = std::make_shared<inquiry>();
    asked->m_pending = count;
    const auto finish_one = [asked, done = std::move(done), &loop = m_loop](bool ready) {
        asked->m_ready += ready ? 1 : 0;
        if (--asked->m_pending == 0) {
            loop.defer([asked, done] {
                for (const auto& each : asked->m_streams) {
                    each->set_handlers({});
                    each->close();
                }
                done(asked->m_ready);
            });
        }
    };
    for (int number = 0; number < count; ++number) {
        const auto answered = std::make_shared<bool>(false);
        const endpoint where = local(gateway_ports + number * ports_per_gateway + readiness);
        auto slot = std::make_shared<std::weak_ptr<tcp_stream>>();
        const auto stream = tcp_stream::connect(
            m_loop, where,
            {.m_on_connected =
                 [slot] {
                     if (const auto open = slot->lock()) {
                         open->write("GET /anvilmount/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                     }
                 },
             .m_on_bytes =
                 [answered, finish_one](std::string_view bytes) {
                     if (!std::exchange(*answered, true)) {
                         finish_one(bytes.starts_with("HTTP/1.1 200"));
                     }
                 },
             .m_on_closed =
                 [answered, finish_one](close_reason) {
                     if (!std::exchange(*answered, true)) {
                         finish_one(false);
                     }
                 }});
        *slot = stream;
        asked->m_streams.push_back(stream);
    }
}

}
