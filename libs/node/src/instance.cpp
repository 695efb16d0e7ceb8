/// \file instance.cpp
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

#include <fstream>
#include <optional>

namespace anvilmount {
namespace {

constexpr milliseconds leave_check_pace{50};
constexpr milliseconds peers_patience{2000};
constexpr milliseconds cancel_timeout{2000};
constexpr milliseconds switch_timeout{5000};
constexpr milliseconds revision_timeout{1000};

/// Resident memory of this process in bytes.
std::uint64_t resident_bytes() {
    std::ifstream statm("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

/// Gathers one value from each shard and hands all of them on in one thread.
class shard_gathering : public std::enable_shared_from_this<shard_gathering> {
public:
    using finished = std::function<void(nlohmann::json)>;

    shard_gathering(reactor& home, std::size_t expected, finished done)
        : m_home(home), m_missing(expected), m_done(std::move(done)) {}

    void add(nlohmann::json part) {
        m_home.post([self = shared_from_this(), part = std::move(part)]() mutable {
            self->m_values.push_back(std::move(part));
            if (--self->m_missing == 0) {
                self->m_done(std::move(self->m_values));
            }
        });
    }

private:
    reactor& m_home;
    std::size_t m_missing;
    finished m_done;
    nlohmann::json m_values = nlohmann::json::array();
};

}

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
    steady_time m_started{std::chrono::steady_clock::now()};
    bool m_leaving{false};
    std::optional<steady_time> m_idle_since; ///< While leaving: since when nothing was in progress.

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
    void switch_primary(const switch_request& order, std::function<void(std::optional<failure>)> on_done);
    void switch_local(const switch_request& order, std::function<void(std::optional<failure>)> on_done);
    void dump(const std::function<void(nlohmann::json)>& done);
    void gather_revisions(const std::function<void(nlohmann::json)>& done);
    [[nodiscard]] nlohmann::json status() const;
    [[nodiscard]] nlohmann::json dump_shard(std::size_t index);
    void wait_until_idle(steady_time limit, std::function<void()> done);
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
    // Homes first: channels of any shard may reach the homes of every other.
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
                [this, &owner](const switch_request& order, auto on_done) {
                    m_loop.post([this, &owner, order, on_done = std::move(on_done)] {
                        switch_local(order, [&owner, on_done](std::optional<failure> why) {
                            owner.post([on_done, why = std::move(why)] { on_done(why); });
                        });
                    });
                });
            m_fronts[index] = std::make_unique<front>(
                front_context{.m_shard = owner,
                              .m_knowledge = m_knowledge,
                              .m_members = m_members,
                              .m_channels = *m_channel_openers[index],
                              .m_cancels = m_cancel_registry,
                              .m_options = {.m_server_version = m_options.m_server_version,
                                            .m_most_callers = m_options.m_max_callers / count},
                              .m_cancel_elsewhere = [this](const backend_key& key) {
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
        request.set_process(key.m_process);
        request.set_secret(key.m_secret);
        client_to(each.m_peer_address)
            .send({.m_method = "POST", .m_path = "/cancel", .m_body = request.SerializeAsString()},
                  cancel_timeout, [](const std::variant<http2_answer, failure>&) {});
    }
}

http2_client& instance::impl::client_to(const endpoint& peer) {
    auto& client = m_peer_clients[peer];
    if (!client) {
        client = std::make_unique<http2_client>(m_loop, peer);
    }
    return *client;
}

/// Passes an order on to the instance that holds the group's steward.
void instance::impl::switch_primary(const switch_request& order,
                                    std::function<void(std::optional<failure>)> on_done) {
    const auto line = m_members.home_candidates(coordinator_key(order.m_group), {}, reactor::now());
    if (m_knowledge.find(order.m_group) == nullptr) {
        on_done(failure{.m_code = result_code::unknown_group,
                        .m_message = "there is no group " + order.m_group.m_text});
        return;
    }
    if (m_members.is_self(line.front().m_id)) {
        switch_local(order, std::move(on_done));
        return;
    }
    client_to(line.front().m_peer_address)
        .send({.m_method = "POST", .m_path = "/switch", .m_body = to_json_text(order)}, switch_timeout,
              [on_done = std::move(on_done)](std::variant<http2_answer, failure> got) {
                  const auto* answer = std::get_if<http2_answer>(&got);
                  on_done(answer != nullptr ? parse_operator_response(*answer) : std::get<failure>(got));
              });
}

void instance::impl::switch_local(const switch_request& order,
                                  std::function<void(std::optional<failure>)> on_done) {
    const std::size_t index = shard_of(coordinator_key(order.m_group), m_shards.size());
    m_shards[index]->post([this, index, order, on_done = std::move(on_done)] {
        const auto answer = [this, on_done](std::optional<failure> why) {
            m_loop.post([on_done, why = std::move(why)] { on_done(why); });
        };
        group_steward* steward = m_home_directories[index]->find_steward(order.m_group);
        if (steward == nullptr) {
            answer(failure{.m_code = result_code::switch_failed,
                           .m_message = "the group's steward is just moving; try again"});
            return;
        }
        steward->switch_to(order.m_upstream, answer);
    });
}

nlohmann::json instance::impl::dump_shard(std::size_t index) {
    const stream_traffic& traffic = m_shards[index]->loop().traffic();
    return {{"shard", index},
            {"bytes_received", traffic.m_received},
            {"bytes_sent", traffic.m_sent},
            {"callers", m_fronts[index]->callers()},
            {"busy_callers", m_fronts[index]->busy_callers()},
            {"homes", m_home_directories[index]->dump()},
            {"stewards", m_home_directories[index]->dump_stewards()},
            {"peer_links", m_channel_openers[index]->dump()},
            {"metrics", m_shards[index]->shard_metrics().to_json()}};
}

nlohmann::json instance::impl::status() const {
    const auto uptime = std::chrono::duration_cast<std::chrono::seconds>(reactor::now() - m_started);
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
    const auto gathering =
        std::make_shared<shard_gathering>(m_loop, m_shards.size(), [this, done](nlohmann::json shards) {
            nlohmann::json all = status();
            all["shards"] = std::move(shards);
            done(std::move(all));
        });
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        m_shards[index]->post([this, index, gathering] { gathering->add(dump_shard(index)); });
    }
}

void instance::impl::gather_revisions(const std::function<void(nlohmann::json)>& done) {
    const auto revisions = std::make_shared<nlohmann::json>(nlohmann::json::object());
    const std::vector<instance_view> all = m_members.instances(reactor::now());
    const auto missing = std::make_shared<std::size_t>(all.size());
    const auto add = [revisions, missing, done](const std::string& id, nlohmann::json revision) {
        (*revisions)[id] = std::move(revision);
        if (--*missing == 0) {
            done(*revisions);
        }
    };
    for (const instance_view& each : all) {
        const std::string id = each.m_id.m_text;
        if (m_members.is_self(each.m_id)) {
            add(id, m_knowledge.current()->m_revision);
            continue;
        }
        client_to(each.m_peer_address)
            .send({.m_method = "GET", .m_path = "/revision"}, revision_timeout,
                  [add, id](const std::variant<http2_answer, failure>& got) {
                      const auto* answer = std::get_if<http2_answer>(&got);
                      add(id, answer != nullptr ? nlohmann::json::parse(answer->m_body, nullptr, false)
                                                : nlohmann::json());
                  });
    }
}

/// Ends only after peers have closed their connections: ending while something
/// of theirs is unread would make the kernel throw away the last answers.
void instance::impl::wait_until_idle(steady_time limit, std::function<void()> done) {
    const auto gathering = std::make_shared<shard_gathering>(
        m_loop, m_shards.size(), [this, limit, done = std::move(done)](const nlohmann::json& shards) {
            std::size_t busy = 0;
            std::size_t links = 0;
            for (const nlohmann::json& each : shards) {
                busy += each["busy"].get<std::size_t>();
                links += each["links"].get<std::size_t>();
            }
            const steady_time now = reactor::now();
            m_idle_since = busy > 0 ? std::nullopt : std::optional(m_idle_since.value_or(now));
            const bool read_by_peers = links == 0 || now >= m_idle_since.value_or(now) + peers_patience;
            if ((m_idle_since && read_by_peers) || now >= limit) {
                done();
                return;
            }
            m_loop.after(leave_check_pace, [this, limit, done] { wait_until_idle(limit, done); });
        });
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        m_shards[index]->post([this, index, gathering] {
            gathering->add(
                {{"busy", m_fronts[index]->callers() + m_home_directories[index]->open_channel_count()},
                 {"links", m_peer_servers[index]->connection_count()}});
        });
    }
}

instance::instance(reactor& loop, instance_options options)
    : m_impl(std::make_unique<impl>(loop, std::move(options))) {}

/// The shards' events end first: what they would call goes away in several steps.
instance::~instance() {
    impl& all = *m_impl;
    for (const auto& each : all.m_shards) {
        each->run_and_wait([&] { each->loop().stop(); });
    }
    for (std::size_t index = 0; index < all.m_shards.size(); ++index) {
        all.m_shards[index]->run_and_wait([&] {
            all.m_fronts[index].reset();
            all.m_peer_servers[index].reset();
        });
    }
    for (std::size_t index = 0; index < all.m_shards.size(); ++index) {
        all.m_shards[index]->run_and_wait([&] {
            all.m_channel_openers[index].reset();
            all.m_home_directories[index].reset();
        });
    }
}

result<void> instance::start() {
    impl& all = *m_impl;
    all.make_shards();
    all.m_follower = std::make_unique<configuration_follower>(
        all.m_loop, all.m_options.m_seed, all.m_platform, all.m_knowledge, all.m_members,
        configuration_follower_options{.m_interval = all.m_options.m_platform_poll_interval});
    all.m_follower->set_change_handler([&all] {
        for (std::size_t index = 0; index < all.m_shards.size(); ++index) {
            all.m_shards[index]->post([&all, index] { all.m_home_directories[index]->reconcile(); });
        }
    });
    all.m_operator_service = std::make_unique<operator_service>(
        all.m_loop, all.m_platform,
        operator_service::handlers{
            .m_dump = [&all](const auto& done) { all.dump(done); },
            .m_status = [&all] { return all.status(); },
            .m_revisions = [&all](const auto& done) { all.gather_revisions(done); },
            .m_switch = [&all](const switch_request& order,
                               auto on_done) { all.switch_primary(order, std::move(on_done)); },
            .m_poll = [&all] { all.m_follower->poll_now(); }},
        std::random_device{}());
    return all.listen();
}

void instance::leave(milliseconds limit, std::function<void()> done) {
    impl& all = *m_impl;
    all.m_leaving = true;
    all.m_members.set_self_leaving();
    log_event(log_level::info, "instance.leaving", {{"instance", all.m_options.m_id.m_text}});
    for (std::size_t index = 0; index < all.m_shards.size(); ++index) {
        all.m_shards[index]->post([&all, index] {
            all.m_fronts[index]->leave();
            all.m_peer_servers[index]->stop_accepting();
        });
    }
    all.wait_until_idle(reactor::now() + limit, std::move(done));
}

}
