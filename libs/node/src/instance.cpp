/// \file instance.cpp
/// Creates the shards with their components, and runs the main thread's part: the
/// platform, operators, and requests to other instances.
#include "anvilmount/node/instance.hpp"

#include "cancel_registry.hpp"
#include "channel.hpp"
#include "configuration_follower.hpp"
#include "front.hpp"
#include "operator_service.hpp"
#include "peer_server.hpp"

#include "anvilmount/observe/event_log.hpp"
#include "anvilmount/wire/http2_exchange.hpp"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <optional>

namespace anvilmount {
namespace {

constexpr milliseconds idle_check_interval{50};
constexpr milliseconds peer_close_timeout{2000};
constexpr milliseconds cancel_timeout{2000};
/// Part of the time for leaving, at its end, in which what is unfinished gets errors; at most a tenth.
constexpr milliseconds max_time_for_errors{1000};
constexpr int time_for_errors_divisor = 10;
constexpr milliseconds switch_timeout{5000};
constexpr milliseconds revision_timeout{1000};

/// Returns the resident memory of this process in bytes.
std::uint64_t resident_bytes() {
    std::ifstream statm("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

/// Collects one value from each shard and passes all of them to `done` on the thread of `done_loop`.
class shard_collector : public std::enable_shared_from_this<shard_collector> {
public:
    using done_handler = std::function<void(nlohmann::json)>;

    shard_collector(reactor& done_loop, std::size_t expected, done_handler done)
        : m_reactor(done_loop), m_pending_shards(expected), m_done(std::move(done)) {}

    void add(nlohmann::json value) {
        m_reactor.post([self = shared_from_this(), value = std::move(value)]() mutable {
            self->m_values.push_back(std::move(value));
            if (--self->m_pending_shards == 0) {
                self->m_done(std::move(self->m_values));
            }
        });
    }

private:
    reactor& m_reactor;
    std::size_t m_pending_shards;
    done_handler m_done;
    nlohmann::json m_values = nlohmann::json::array();
};

}

/// When a leaving instance gives up.
struct leaving_deadlines {
    steady_time m_unfinished{}; ///< Ends what is in progress, with errors.
    steady_time m_exit{};       ///< Exits even if callers have not received everything.
};

struct instance::impl {
    reactor& m_loop;
    instance_options m_options;
    membership m_members;
    group_knowledge m_knowledge;
    cancel_registry m_cancel_registry;
    control_store_client m_platform;
    shard_list m_shards;
    home_directories m_home_directories;
    std::vector<std::unique_ptr<channel_opener>> m_channel_openers;
    std::vector<std::unique_ptr<peer_server>> m_peer_servers;
    std::vector<std::unique_ptr<front>> m_fronts;
    std::unique_ptr<configuration_follower> m_follower;
    std::unique_ptr<operator_service> m_operator_service;
    std::map<endpoint, std::unique_ptr<http2_client>> m_peer_clients; ///< For requests to other instances.
    steady_time m_started_at{std::chrono::steady_clock::now()};
    bool m_leaving{false};
    bool m_ended_unfinished{false};
    std::optional<steady_time>
        m_idle_since; ///< While leaving: when work in progress ended; unset while there is any.

    impl(reactor& loop, instance_options options)
        : m_loop(loop), m_options(std::move(options)),
          m_members({.m_id = m_options.m_id,
                     .m_peer_address = m_options.m_peer_address,
                     .m_data_centre = m_options.m_data_centre}),
          m_cancel_registry(m_options.m_id), m_platform(loop, {.m_address = m_options.m_platform_address}) {
    }

    void make_shards();
    result<void> listen();
    void forward_cancel(const backend_key& key);
    http2_client& client_to(const endpoint& peer);
    void switch_primary(const switch_request& target, std::function<void(std::optional<failure>)> on_done);
    void switch_local(const switch_request& target, std::function<void(std::optional<failure>)> on_done);
    void dump(const std::function<void(nlohmann::json)>& done);
    void gather_revisions(const std::function<void(nlohmann::json)>& done);
    [[nodiscard]] nlohmann::json status() const;
    [[nodiscard]] nlohmann::json dump_shard(std::size_t index);
    void end_unfinished();
    void wait_until_idle(const leaving_deadlines& until, std::function<void()> done);
};

void instance::impl::make_shards() {
    const std::size_t count = m_options.m_shards;
    for (std::size_t index = 0; index < count; ++index) {
        m_shards.push_back(
            std::make_unique<shard>(index, m_options.m_seed + static_cast<std::uint32_t>(index)));
    }
    m_home_directories.resize(count);
    m_channel_openers.resize(count);
    m_peer_servers.resize(count);
    m_fronts.resize(count);
    // Create all homes first: a channel of one shard may connect to a home of any other.
    for (std::size_t index = 0; index < count; ++index) {
        m_shards[index]->run_and_wait([&] {
            m_home_directories[index] =
                std::make_unique<home_directory>(*m_shards[index], count, m_knowledge, m_members);
        });
    }
    for (std::size_t index = 0; index < count; ++index) {
        shard& owner = *m_shards[index];
        owner.run_and_wait([&] {
            m_channel_openers[index] =
                std::make_unique<channel_opener>(owner, m_shards, m_home_directories, m_members);
            m_peer_servers[index] = std::make_unique<peer_server>(
                owner, *m_channel_openers[index], m_cancel_registry, m_knowledge,
                [this, &owner](const switch_request& target, auto on_done) {
                    m_loop.post([this, &owner, target, on_done = std::move(on_done)] {
                        switch_local(target, [&owner, on_done](std::optional<failure> why) {
                            owner.post([on_done, why = std::move(why)] { on_done(why); });
                        });
                    });
                });
            m_fronts[index] = std::make_unique<front>(
                front_context{.m_shard = owner,
                              .m_knowledge = m_knowledge,
                              .m_members = m_members,
                              .m_channel_opener = *m_channel_openers[index],
                              .m_cancel_registry = m_cancel_registry,
                              .m_options = {.m_server_version = m_options.m_server_version,
                                            .m_max_callers = m_options.m_max_callers / count},
                              .m_forward_cancel = [this](const backend_key& key) {
                                  m_loop.post([this, key] { forward_cancel(key); });
                              }});
        });
    }
}

result<void> instance::impl::listen() {
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        const auto failed = m_shards[index]->run_and_wait([&] {
            return failure_of([&]() -> result<void> {
                BOOST_LEAF_CHECK(m_peer_servers[index]->listen(m_options.m_peer_address));
                return m_fronts[index]->listen(m_options.m_caller_address);
            });
        });
        if (failed) {
            return boost::leaf::new_error(*failed);
        }
    }
    return m_operator_service->listen(m_options.m_operator_address);
}

void instance::impl::forward_cancel(const backend_key& key) {
    for (const instance_view& each : m_members.instances(reactor::now())) {
        if (cancel_tag(each.m_id) != cancel_tag(key)) {
            continue;
        }
        peer::cancel_request request;
        request.set_process(key.m_process_id);
        request.set_secret(key.m_secret);
        client_to(each.m_peer_address)
            .send({.m_method = "POST", .m_path = "/cancel", .m_body = request.SerializeAsString()},
                  cancel_timeout, [](const std::variant<http2_response, failure>&) {});
    }
}

http2_client& instance::impl::client_to(const endpoint& peer) {
    auto& client = m_peer_clients[peer];
    if (!client) {
        client = std::make_unique<http2_client>(m_loop, peer);
    }
    return *client;
}

/// Forwards a request to the instance that owns the group's coordinator.
void instance::impl::switch_primary(const switch_request& target,
                                    std::function<void(std::optional<failure>)> on_done) {
    const auto candidates = m_members.home_candidates(coordinator_key(target.m_group), {}, reactor::now());
    if (m_knowledge.find(target.m_group) == nullptr) {
        on_done(failure{.m_code = result_code::unknown_group,
                        .m_message = "there is no group " + target.m_group.m_text});
        return;
    }
    if (m_members.is_self(candidates.front().m_id)) {
        switch_local(target, std::move(on_done));
        return;
    }
    client_to(candidates.front().m_peer_address)
        .send({.m_method = "POST", .m_path = "/switch", .m_body = to_json_text(target)}, switch_timeout,
              [on_done = std::move(on_done)](std::variant<http2_response, failure> outcome) {
                  const auto* response = std::get_if<http2_response>(&outcome);
                  on_done(response != nullptr ? parse_operator_response(*response)
                                              : std::get<failure>(outcome));
              });
}

void instance::impl::switch_local(const switch_request& target,
                                  std::function<void(std::optional<failure>)> on_done) {
    const std::size_t index = shard_of(coordinator_key(target.m_group), m_shards.size());
    m_shards[index]->post([this, index, target, on_done = std::move(on_done)] {
        const auto report_outcome = [this, on_done](std::optional<failure> why) {
            m_loop.post([on_done, why = std::move(why)] { on_done(why); });
        };
        group_steward* steward = m_home_directories[index]->find_steward(target.m_group);
        if (steward == nullptr) {
            report_outcome(failure{.m_code = result_code::switch_failed,
                                   .m_message = "the group's steward is just moving; try again"});
            return;
        }
        steward->switch_to(target.m_upstream, report_outcome);
    });
}

nlohmann::json instance::impl::dump_shard(std::size_t index) {
    const stream_traffic& traffic = m_shards[index]->loop().traffic();
    return {{"shard", index},
            {"bytes_received", traffic.m_received},
            {"bytes_sent", traffic.m_sent},
            {"callers", m_fronts[index]->caller_count()},
            {"busy_callers", m_fronts[index]->busy_caller_count()},
            {"homes", m_home_directories[index]->dump()},
            {"stewards", m_home_directories[index]->dump_stewards()},
            {"peer_links", m_channel_openers[index]->dump()},
            {"metrics", m_shards[index]->shard_metrics().to_json()}};
}

nlohmann::json instance::impl::status() const {
    const auto uptime = std::chrono::duration_cast<std::chrono::seconds>(reactor::now() - m_started_at);
    return {{"instance", m_options.m_id.m_text},
            {"data_centre", m_options.m_data_centre.m_text},
            {"state", m_leaving                                ? "leaving"
                      : m_knowledge.current()->m_revision == 0 ? "no configuration"
                                                               : "ready"},
            {"configuration", m_follower->dump()},
            {"uptime_s", uptime.count()},
            {"resident_bytes", resident_bytes()},
            {"control_bytes_received", m_loop.traffic().m_received},
            {"control_bytes_sent", m_loop.traffic().m_sent},
            {"instances", m_members.dump(reactor::now())},
            {"groups", m_knowledge.dump(m_members, reactor::now())}};
}

void instance::impl::dump(const std::function<void(nlohmann::json)>& done) {
    const auto collector =
        std::make_shared<shard_collector>(m_loop, m_shards.size(), [this, done](nlohmann::json shards) {
            nlohmann::json state = status();
            state["shards"] = std::move(shards);
            done(std::move(state));
        });
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        m_shards[index]->post([this, index, collector] { collector->add(dump_shard(index)); });
    }
}

void instance::impl::gather_revisions(const std::function<void(nlohmann::json)>& done) {
    const auto revisions = std::make_shared<nlohmann::json>(nlohmann::json::object());
    const std::vector<instance_view> instances = m_members.instances(reactor::now());
    const auto pending = std::make_shared<std::size_t>(instances.size());
    const auto add = [revisions, pending, done](const std::string& id, nlohmann::json revision) {
        (*revisions)[id] = std::move(revision);
        if (--*pending == 0) {
            done(*revisions);
        }
    };
    for (const instance_view& each : instances) {
        const std::string id = each.m_id.m_text;
        if (m_members.is_self(each.m_id)) {
            add(id, m_knowledge.current()->m_revision);
            continue;
        }
        client_to(each.m_peer_address)
            .send({.m_method = "GET", .m_path = "/revision"}, revision_timeout,
                  [add, id](const std::variant<http2_response, failure>& outcome) {
                      const auto* response = std::get_if<http2_response>(&outcome);
                      add(id, response != nullptr ? nlohmann::json::parse(response->m_body, nullptr, false)
                                                  : nlohmann::json());
                  });
    }
}

/// Answers what is in progress with errors and ends all sessions and channels.
void instance::impl::end_unfinished() {
    m_ended_unfinished = true;
    // The homes end after all fronts know that nothing is tried again.
    const auto collector =
        std::make_shared<shard_collector>(m_loop, m_shards.size(), [this](const nlohmann::json&) {
            for (std::size_t index = 0; index < m_shards.size(); ++index) {
                m_shards[index]->post([this, index] { m_home_directories[index]->end_channels(); });
            }
        });
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        m_shards[index]->post([this, index, collector] {
            m_fronts[index]->end_unfinished();
            collector->add({});
        });
    }
}

/// Calls `done` once nothing is in progress and peers have closed their connections,
/// or at the end of the time for leaving; shortly before, ends what is unfinished. Exiting while data of a
/// peer is unread would make the kernel discard the last answers sent to it.
void instance::impl::wait_until_idle(const leaving_deadlines& until, std::function<void()> done) {
    const auto collector = std::make_shared<shard_collector>(
        m_loop, m_shards.size(), [this, until, done = std::move(done)](const nlohmann::json& shards) {
            std::size_t busy = 0;
            std::size_t open_connections = 0;
            for (const nlohmann::json& each : shards) {
                busy += each["busy"].get<std::size_t>();
                open_connections += each["links"].get<std::size_t>();
            }
            const steady_time now = reactor::now();
            m_idle_since = busy > 0 ? std::nullopt : std::optional(m_idle_since.value_or(now));
            const bool peers_are_done =
                open_connections == 0 || now >= m_idle_since.value_or(now) + peer_close_timeout;
            if ((m_idle_since && peers_are_done) || (now >= until.m_exit && m_ended_unfinished)) {
                if (!m_idle_since) {
                    log_event(log_level::warning, "instance.left_unfinished",
                              {{"callers_and_channels", std::to_string(busy)}});
                }
                done();
                return;
            }
            if (now >= until.m_unfinished && !m_ended_unfinished) {
                log_event(log_level::warning, "instance.time_to_leave_over",
                          {{"callers_and_channels", std::to_string(busy)}});
                end_unfinished();
            }
            m_loop.after(idle_check_interval, [this, until, done] { wait_until_idle(until, done); });
        });
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        m_shards[index]->post([this, index, collector] {
            collector->add({{"busy", m_fronts[index]->caller_count() +
                                         m_home_directories[index]->open_channel_count()},
                            {"links", m_peer_servers[index]->connection_count()}});
        });
    }
}

instance::instance(reactor& loop, instance_options options)
    : m_impl(std::make_unique<impl>(loop, std::move(options))) {}

/// Stops the shards' events before anything is destroyed, since the objects that
/// events refer to are destroyed in several steps.
instance::~instance() {
    impl& state = *m_impl;
    for (const auto& each : state.m_shards) {
        each->run_and_wait([&] { each->loop().stop(); });
    }
    for (std::size_t index = 0; index < state.m_shards.size(); ++index) {
        state.m_shards[index]->run_and_wait([&] {
            state.m_fronts[index].reset();
            state.m_peer_servers[index].reset();
        });
    }
    for (std::size_t index = 0; index < state.m_shards.size(); ++index) {
        state.m_shards[index]->run_and_wait([&] {
            state.m_channel_openers[index].reset();
            state.m_home_directories[index].reset();
        });
    }
}

result<void> instance::start() {
    impl& state = *m_impl;
    state.make_shards();
    state.m_follower = std::make_unique<configuration_follower>(
        state.m_loop, state.m_options.m_seed, state.m_platform, state.m_knowledge, state.m_members,
        configuration_follower_options{.m_interval = state.m_options.m_platform_poll_interval});
    state.m_follower->set_change_handler([&state] {
        for (std::size_t index = 0; index < state.m_shards.size(); ++index) {
            state.m_shards[index]->post([&state, index] { state.m_home_directories[index]->reconcile(); });
        }
    });
    state.m_operator_service = std::make_unique<operator_service>(
        state.m_loop, state.m_platform,
        operator_service::handlers{
            .m_dump = [&state](const auto& done) { state.dump(done); },
            .m_status = [&state] { return state.status(); },
            .m_revisions = [&state](const auto& done) { state.gather_revisions(done); },
            .m_switch = [&state](const switch_request& target,
                                 auto on_done) { state.switch_primary(target, std::move(on_done)); },
            .m_poll = [&state] { state.m_follower->poll_now(); }},
        std::random_device{}());
    return state.listen();
}

void instance::leave(milliseconds timeout, std::function<void()> done) {
    impl& state = *m_impl;
    state.m_leaving = true;
    state.m_members.set_self_leaving();
    log_event(log_level::info, "instance.leaving", {{"instance", state.m_options.m_id.m_text}});
    for (std::size_t index = 0; index < state.m_shards.size(); ++index) {
        state.m_shards[index]->post([&state, index] {
            state.m_fronts[index]->leave();
            state.m_peer_servers[index]->stop_accepting();
        });
    }
    const steady_time exit = reactor::now() + timeout;
    const milliseconds time_for_errors = std::min(max_time_for_errors, timeout / time_for_errors_divisor);
    state.wait_until_idle({.m_unfinished = exit - time_for_errors, .m_exit = exit}, std::move(done));
}

}
