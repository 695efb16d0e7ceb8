/// \file loaded_group.hpp
/// One database group under load in virtual time: a group_service and scripted upstreams that run a
/// limited number of statements at once and show the faults that a test sets. It counts by kind of load
/// what callers get: answered within the latency target, late, refused as not run, or failed.
#pragma once

#include "support/manual_clock.hpp"

#include "anvilmount/gateway/group_service.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace anvilmount::test {

/// One kind of load.
struct load_kind {
    std::string m_name{};
    int m_rank{2};
    double m_per_second{1};
    int m_work_ms{10};
    milliseconds m_target{200};
    milliseconds m_deadline{1000};
    bool m_writes{false};
    std::string m_account{};
    int m_callers{50}; ///< Requests are spread over this many callers.
};

/// What the callers of one kind got.
struct load_result {
    int m_in_target{0};
    int m_late{0};
    int m_refused{0};
    int m_failed{0};
    [[nodiscard]] int total() const { return m_in_target + m_late + m_refused + m_failed; }
    [[nodiscard]] double share_in_target() const {
        return total() == 0 ? 0.0 : static_cast<double>(m_in_target) / total();
    }
};

inline std::ostream& operator<<(std::ostream& out, const load_result& result) {
    return out << result.m_in_target << " in target, " << result.m_late << " late, " << result.m_refused
               << " refused, " << result.m_failed << " failed";
}

/// Faults of one scripted upstream; shares are of the statements that it receives.
struct upstream_faults {
    double m_failed{0};     ///< Answered FAILED.
    double m_busy{0};       ///< Answered BUSY.
    double m_unanswered{0}; ///< Never answered.
    double m_reset{0};      ///< The connection is reset in place of an answer.
    int m_slowness{1};      ///< Factor of the work time.
    bool m_is_down{false};  ///< Refuses connections.
};

/// A group of upstreams NAME-1 (the primary), NAME-2...; all calls are made in virtual time.
class loaded_group {
public:
    loaded_group(int upstreams, int slots, gateway::group_options options, std::uint32_t seed)
        : m_random(seed) {
        options.m_name = {"g"};
        options.m_data_centre = {"dc"};
        options.m_limits = {.m_connections = connections, .m_slots = slots};
        m_lease.renew(m_clock.now(), m_clock.now(), 0);
        m_service = std::make_unique<gateway::group_service>(options, m_clock_port, m_connector, m_lease,
                                                             m_metrics);
        gateway::upstream_registry registry;
        for (int number = 1; number <= upstreams; ++number) {
            const std::string id = "g-" + std::to_string(number);
            m_upstreams[id].m_slots = slots;
            registry[{id}] = {.m_id = {id}, .m_group = {"g"}, .m_data_centre = {"dc"}, .m_slots = slots};
        }
        m_service->adopt_upstreams(registry, true);
        m_service->adopt_record({.m_epoch = 1, .m_primary = {"g-1"}, .m_term = 1, .m_start = position},
                                [] {});
        tick();
        m_clock.run_for(std::chrono::seconds{1});
    }

    upstream_faults& faults(const std::string& id) { return m_upstreams.at(id).m_faults; }

    /// Takes an upstream down, which resets its connections, or lets it come back.
    void set_down(const std::string& id, bool down) {
        m_upstreams.at(id).m_faults.m_is_down = down;
        if (!down) {
            return;
        }
        const auto channels = m_upstreams.at(id).m_channels;
        for (const auto& [number, channel] : channels) {
            lose(channel);
        }
    }

    /// Sends `kind` for `time` from now on, at random moments.
    void offer(const load_kind& kind, milliseconds time) {
        const auto count = static_cast<int>(kind.m_per_second * static_cast<double>(time.count()) / 1000);
        for (int each = 0; each < count; ++each) {
            m_clock.after(milliseconds{draw(static_cast<std::uint32_t>(time.count()))},
                          [this, kind] { submit(kind); });
        }
    }

    void run_for(milliseconds time) { m_clock.run_for(time); }
    manual_clock& clock() { return m_clock; }
    gateway::group_service& service() { return *m_service; }
    metrics& counters() { return m_metrics; }
    load_result& result(const std::string& name) { return m_results[name]; }
    /// Statements that an upstream received.
    [[nodiscard]] int received(const std::string& id) const { return m_upstreams.at(id).m_received; }
    /// Statements of this id that any upstream received.
    [[nodiscard]] int times_sent(const std::string& id) const {
        const auto found = m_sent.find(id);
        return found == m_sent.end() ? 0 : found->second;
    }
    /// Greatest number of times that one write was sent.
    [[nodiscard]] int most_sends_of_a_write() const { return m_most_write_sends; }

private:
    static constexpr int connections = 16;
    static constexpr log_position position{.m_term = 1, .m_offset = 100};

    struct channel_state {
        std::uint64_t m_number{0};
        std::string m_upstream{};
        gateway::upstream_channel_events m_events{};
        bool m_open{true};
    };
    using channel_ptr = std::shared_ptr<channel_state>;
    struct job {
        channel_ptr m_channel{};
        gateway::outgoing_statement m_statement{};
    };
    struct scripted_upstream {
        int m_slots{1};
        int m_running{0};
        int m_received{0};
        upstream_faults m_faults{};
        std::deque<job> m_waiting{};
        std::map<std::uint64_t, channel_ptr> m_channels{};
    };

    /// The generator is used directly: the library's distributions differ between implementations.
    std::uint32_t draw(std::uint32_t bound) { return static_cast<std::uint32_t>(m_random() % bound); }
    bool happens(double share) { return draw(10000) < static_cast<std::uint32_t>(share * 10000); }

    void tick() {
        m_service->tick();
        m_clock.after(milliseconds{5}, [this] { tick(); });
    }

    gateway::upstream_channel connect(const std::string& id, gateway::upstream_channel_events events) {
        auto channel = std::make_shared<channel_state>();
        channel->m_number = ++m_next;
        channel->m_upstream = id;
        channel->m_events = std::move(events);
        m_clock.after(milliseconds{12}, [this, channel] {
            scripted_upstream& upstream = m_upstreams.at(channel->m_upstream);
            if (!channel->m_open) {
                return;
            }
            if (upstream.m_faults.m_is_down) {
                channel->m_open = false;
                channel->m_events.m_on_connect_failed(gateway::connect_failure::refused);
                return;
            }
            upstream.m_channels[channel->m_number] = channel;
            channel->m_events.m_on_ready();
        });
        return {.m_send =
                    [this, channel](const std::vector<gateway::outgoing_statement>& batch) {
                        for (const auto& statement : batch) {
                            receive(channel, statement);
                        }
                    },
                .m_has_unreported_input = [] { return false; },
                .m_close =
                    [this, channel] {
                        channel->m_open = false;
                        m_upstreams.at(channel->m_upstream).m_channels.erase(channel->m_number);
                    }};
    }

    void lose(const channel_ptr& channel) {
        if (channel->m_open) {
            channel->m_open = false;
            m_upstreams.at(channel->m_upstream).m_channels.erase(channel->m_number);
            channel->m_events.m_on_lost();
        }
    }

    void receive(const channel_ptr& channel, const gateway::outgoing_statement& statement) {
        scripted_upstream& upstream = m_upstreams.at(channel->m_upstream);
        ++upstream.m_received;
        const int sends = ++m_sent[statement.m_id];
        if (statement.m_writes) {
            m_most_write_sends = std::max(m_most_write_sends, sends);
        }
        const upstream_faults& faults = upstream.m_faults;
        if (happens(faults.m_unanswered)) {
            return;
        }
        if (happens(faults.m_reset)) {
            m_clock.after(milliseconds{1}, [this, channel] { lose(channel); });
        } else if (happens(faults.m_failed)) {
            answer_later(channel, {.m_code = result_code::statement_failed}, milliseconds{1});
        } else if (happens(faults.m_busy)) {
            answer_later(channel, {.m_code = result_code::queue_full}, milliseconds{1});
        } else {
            upstream.m_waiting.push_back({channel, statement});
            run_waiting(channel->m_upstream);
        }
    }

    void run_waiting(const std::string& id) {
        scripted_upstream& upstream = m_upstreams.at(id);
        while (upstream.m_running < upstream.m_slots && !upstream.m_waiting.empty()) {
            const job next = upstream.m_waiting.front();
            upstream.m_waiting.pop_front();
            ++upstream.m_running;
            const int mean =
                std::max(1, next.m_statement.m_text.empty() ? 1 : std::stoi(next.m_statement.m_text));
            const auto work = mean / 2 + static_cast<int>(draw(static_cast<std::uint32_t>(mean) + 1));
            m_clock.after(milliseconds{work * upstream.m_faults.m_slowness}, [this, id, next] {
                --m_upstreams.at(id).m_running;
                answer_later(next.m_channel, {.m_proof = "done", .m_position = position}, milliseconds{0});
                run_waiting(id);
            });
        }
    }

    void answer_later(const channel_ptr& channel, gateway::answer reply, milliseconds delay) {
        m_clock.after(delay, [channel, reply = std::move(reply)] {
            if (channel->m_open) {
                channel->m_events.m_on_answer(reply);
            }
        });
    }

    void submit(const load_kind& kind) {
        const steady_time now = m_clock.now();
        gateway::group_request request;
        request.m_caller = draw(static_cast<std::uint32_t>(kind.m_callers)) + 1;
        request.m_account = kind.m_account;
        request.m_id = kind.m_name + std::to_string(++m_next);
        request.m_rank = kind.m_rank;
        request.m_placement = kind.m_writes ? gateway::request_placement::primary
                                            : gateway::request_placement::replica_allowed;
        request.m_retryable = !kind.m_writes;
        request.m_acknowledges_write = kind.m_writes;
        request.m_arrived = now;
        request.m_deadline = now + kind.m_deadline;
        request.m_target_time = now + kind.m_target;
        if (!kind.m_writes) {
            request.m_max_staleness = milliseconds{1500};
        }
        request.m_values = m_no_values;
        request.m_statement = {
            .m_id = request.m_id, .m_text = std::to_string(kind.m_work_ms), .m_writes = kind.m_writes};
        const steady_time target = request.m_target_time;
        m_service->submit(std::move(request), [this, kind, target](const gateway::group_reply& reply) {
            load_result& result = m_results[kind.m_name];
            if (reply.m_outcome == gateway::work_outcome::answered) {
                reply.m_pool->release_or_close(reply.m_connection, reply.m_answer.m_state);
            }
            const bool answered = reply.m_outcome == gateway::work_outcome::answered;
            if (answered && reply.m_answer.succeeded()) {
                ++(m_clock.now() <= target ? result.m_in_target : result.m_late);
            } else if (reply.m_outcome == gateway::work_outcome::not_run ||
                       (answered && reply.m_answer.m_code == result_code::queue_full)) {
                ++result.m_refused;
            } else {
                ++result.m_failed;
            }
        });
    }

    manual_clock m_clock;
    gateway::clock_port m_clock_port{m_clock.port()};
    std::mt19937 m_random;
    metrics m_metrics;
    confirmation_lease m_lease{std::chrono::hours{24}};
    std::map<std::string, scripted_upstream> m_upstreams;
    std::map<std::string, int> m_sent;
    std::map<std::string, load_result> m_results;
    std::uint64_t m_next{0};
    int m_most_write_sends{0};
    std::shared_ptr<const gateway::session_values> m_no_values{
        std::make_shared<const gateway::session_values>()};
    gateway::upstream_connector m_connector{
        [this](const endpoint&, const group_name&, const upstream_id& id, const std::string&,
               gateway::upstream_channel_events events) { return connect(id.m_text, std::move(events)); }};
    std::unique_ptr<gateway::group_service> m_service;
};

}
