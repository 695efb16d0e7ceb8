/// \file main.cpp
/// Plays one case of the review: review-world CASE DIRECTORY FIRST-PORT TROUBLE. Writes the record to
/// standard output. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
#include "review_caller.hpp"
#include "review_fleet.hpp"

#include <nlohmann/json.hpp>

#include <QCoreApplication>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace anvilmount;
using nlohmann::json;
using review::caller_answer;
using review::review_caller;
using review::review_fleet;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

constexpr const char* strong_database = "order-commit";

constexpr milliseconds ready_poll_interval{200};
constexpr milliseconds ready_limit{30000};

/// What all cases share: it waits for the gateways, counts violations and ends the run.
class review_case {
public:
    review_case(reactor& loop, const review::fleet_options& options, bool has_trouble)
        : m_loop(loop), m_has_trouble(has_trouble),
          m_fleet(loop, options,
                  {.m_on_promotion = [this](const auto& order) { on_promotion(order); },
                   .m_on_execution = [this](const auto& what) { on_execution(what); },
                   .m_on_commit = [this](const std::string& upstream,
                                         const auto& what) { on_commit(upstream, what); },
                   .m_on_role_change = [this](const std::string& upstream) { on_role_change(upstream); },
                   .m_on_row = [this](const std::string& table, const std::string& key,
                                      const std::string& value) { on_row(table, key, value); }}) {}
    virtual ~review_case() = default;
    review_case(const review_case&) = delete;
    review_case& operator=(const review_case&) = delete;

    [[nodiscard]] int run() {
        if (const auto failed = failure_of([&] { return m_fleet.start(); })) {
            m_fleet.record("error: " + failed->m_message);
            return exit_not_run;
        }
        m_loop.after(milliseconds{0}, [this] { begin(); });
        QCoreApplication::exec();
        m_fleet.record(m_result == exit_held     ? "result: held"
                       : m_result == exit_broken ? "result: broken, " + std::to_string(m_broken) + " times"
                                                 : "result: the case could not run");
        return m_result;
    }

protected:
    virtual void begin() = 0;
    virtual void on_promotion(const standin::promotion_request&) {}
    virtual void on_execution(const standin::line_execution&) {}
    virtual void on_commit(const std::string&, const standin::line_commit&) {}
    virtual void on_role_change(const std::string&) {}
    virtual void on_row(const std::string&, const std::string&, const std::string&) {}

    [[nodiscard]] reactor& loop() { return m_loop; }
    [[nodiscard]] review_fleet& fleet() { return m_fleet; }
    [[nodiscard]] bool has_trouble() const { return m_has_trouble; }
    [[nodiscard]] int broken() const { return m_broken; }

    /// Calls `done` once the first `count` gateways are ready; the case ends if that takes too long.
    void when_ready(int count, std::function<void()> done) {
        m_fleet.count_ready(count,
                            [this, count, done = std::move(done), limit = m_fleet.elapsed() + ready_limit](
                                int ready) mutable { wait_ready(count, ready, limit, std::move(done)); });
    }

    void report(const std::string& what) {
        ++m_broken;
        m_fleet.record("BROKEN " + what);
    }

    void finish(bool could_run = true) {
        m_result = m_broken > 0 ? exit_broken : could_run ? exit_held : exit_not_run;
        QCoreApplication::quit();
    }

private:
    void wait_ready(int count, int ready, milliseconds limit, std::function<void()> done) {
        if (ready == count) {
            done();
            return;
        }
        if (m_fleet.elapsed() >= limit) {
            m_fleet.record("error: " + std::to_string(ready) + " gateways are ready");
            finish(false);
            return;
        }
        m_loop.after(ready_poll_interval, [this, count, limit, done = std::move(done)]() mutable {
            m_fleet.count_ready(count, [this, count, limit, done = std::move(done)](int now) mutable {
                wait_ready(count, now, limit, std::move(done));
            });
        });
    }

    reactor& m_loop;
    bool m_has_trouble;
    review_fleet m_fleet;
    int m_broken{0};
    int m_result{exit_not_run};
};

/// A planned change of primary while the machine that orders it is cut off from the promotion call for a
/// second, and is then stopped by plan: its order may arrive after that of its successor.
class late_order_case : public review_case {
public:
    static constexpr int gateways = 6;

    using review_case::review_case;

private:
    static constexpr int rounds = 7;
    static constexpr milliseconds first_round{5000};
    static constexpr milliseconds round_time{13000};
    static constexpr milliseconds leaving_time{9000};
    static constexpr milliseconds stop_after_confirmation{30};
    /// The cut ends then, or when the successor's order has arrived.
    static constexpr milliseconds longest_cut{1400};

    void begin() override {
        for (int number = 0; number < gateways; ++number) {
            fleet().start_gateway(number);
        }
        when_ready(gateways, [this] { loop().after(first_round, [this] { begin_round(); }); });
    }

    void begin_round() {
        if (broken() > 0 || m_round == rounds) {
            finish();
            return;
        }
        ++m_round;
        m_stopped = -1;
        const std::string leaving = fleet().primary();
        fleet().record("round " + std::to_string(m_round) + ": " + leaving + " is released");
        fleet().add_upstream();
        loop().after(milliseconds{1000}, [this, leaving] {
            m_is_armed = true;
            fleet().drain(leaving);
        });
        loop().after(leaving_time, [this, leaving] { fleet().remove(leaving); });
        loop().after(round_time, [this] { begin_round(); });
    }

    void on_row(const std::string& table, const std::string& key, const std::string& value) override {
        const json row = json::parse(value, nullptr, false);
        if (!row.is_object()) {
            return;
        }
        if (key == "steward") {
            on_coordinator_row(row);
        } else if (m_is_armed && row.value("switching", false) && m_holder >= 0 && has_trouble()) {
            fleet().record("cut: " + m_holder_name + " from the promotion call, " + table + "/" + key +
                           " is switching");
            fleet().promotion_path(m_holder).set_faults({.m_stall = true});
            m_cut = m_holder;
        }
    }

    void on_coordinator_row(const json& row) {
        const std::string holder = row.value("holder", std::string{});
        if (holder != m_holder_name) {
            fleet().record("store: coordinator is " + (holder.empty() ? "nobody" : holder) + ", token " +
                           std::to_string(row.value("token", std::uint64_t{0})));
        }
        m_holder_name = holder;
        m_holder = fleet().gateway_number(holder);
        if (m_is_armed && m_holder >= 0 && !row.value("pending", json::array()).empty()) {
            m_is_armed = false;
            m_stopped = m_holder;
            fleet().record("store: " + holder + " has confirmed its role for a promotion");
            loop().after(stop_after_confirmation, [this, number = m_holder] {
                [[maybe_unused]] const bool sent = fleet().signal_gateway(number, SIGTERM);
            });
            loop().after(longest_cut, [this] { end_cut(); });
        }
    }

    void on_promotion(const standin::promotion_request& order) override {
        if (order.m_token < m_newest_token) {
            report("ONE: " + order.m_holder + " promotes with token " + std::to_string(order.m_token) +
                   " after the platform has seen " + std::to_string(m_newest_token));
        }
        m_newest_token = std::max(m_newest_token, order.m_token);
        if (fleet().gateway_number(order.m_holder) != m_stopped) {
            loop().after(milliseconds{5}, [this] { end_cut(); });
        }
    }

    void end_cut() {
        if (m_cut >= 0) {
            fleet().record("cut ends");
            fleet().promotion_path(std::exchange(m_cut, -1)).set_faults({});
        }
    }

    int m_round{0};
    bool m_is_armed{false}; ///< The next confirmed promotion is the one to interrupt.
    std::string m_holder_name;
    int m_holder{-1};
    int m_stopped{-1};
    int m_cut{-1};
    std::uint64_t m_newest_token{0};
};

/// A machine is added, the store goes away and comes back from a copy of some seconds before, and the new
/// machine is cut off from the store and the other machines meanwhile. Then a primary is released.
class forgotten_member_case : public review_case {
public:
    static constexpr int gateways = 4;

    using review_case::review_case;

private:
    static constexpr int added = gateways - 1;
    static constexpr milliseconds steady_time_before{8000};
    static constexpr milliseconds away_after_registration{300};
    static constexpr milliseconds away_time{1000};
    static constexpr milliseconds copy_age{3000};
    static constexpr milliseconds rewrite_time{200};
    static constexpr milliseconds cut_before_return{100};
    static constexpr milliseconds cut_time{8000};
    static constexpr milliseconds leaving_time{9000};
    static constexpr milliseconds end_time{13000};

    void begin() override {
        for (int number = 0; number < added; ++number) {
            fleet().start_gateway(number);
        }
        when_ready(added, [this] {
            start_writer(0, "w", m_written);
            loop().after(steady_time_before, [this] {
                fleet().start_gateway(added);
                start_reader();
                start_writer(added, "n", m_written_at_added);
                m_waits_for_added = true;
            });
        });
    }

    void on_row(const std::string&, const std::string& key, const std::string& value) override {
        const json row = json::parse(value, nullptr, false);
        if (m_waits_for_added && row.is_object() && key.starts_with("member/") &&
            fleet().gateway_number(row.value("name", std::string{})) == added) {
            m_waits_for_added = false;
            fleet().record("store: the added machine has registered");
            loop().after(away_after_registration, [this] { go_away(); });
        }
        if (row.is_object() && row.contains("switching")) {
            fleet().record("store: record " + value);
        }
    }

    void go_away() {
        fleet().add_upstream();
        if (has_trouble()) {
            fleet().record("the store goes away");
            fleet().store().set_faults({.m_silent = true});
            loop().after(away_time - cut_before_return, [this] {
                fleet().record("the added machine is cut off from the store and the other machines");
                set_cut(true);
            });
            loop().after(away_time, [this] { come_back(); });
            loop().after(away_time - cut_before_return + cut_time, [this] {
                fleet().record("the cut ends");
                set_cut(false);
            });
        }
        loop().after(away_time + rewrite_time, [this] { fleet().drain(m_leaving = fleet().primary()); });
        loop().after(leaving_time, [this] { fleet().remove(m_leaving); });
        loop().after(end_time, [this] { end(); });
    }

    void set_cut(bool cut) {
        fleet().store_path(added).set_faults({.m_stall = cut});
        fleet().cut_gateways_from_each_other(cut);
    }

    void come_back() {
        fleet().record("the store comes back from an older copy");
        fleet().store().set_faults({});
        fleet().store().restore(copy_age);
        loop().after(rewrite_time / 2, [this] { fleet().write_all(); });
    }

    /// Writes rising numbers to the item, and notes the newest one that was acknowledged.
    void start_writer(int gateway, const std::string& item, std::uint64_t& acknowledged) {
        const auto next = std::make_shared<std::uint64_t>(0);
        add_caller({.m_name = "writer-" + item,
                    .m_address = fleet().caller_address(gateway),
                    .m_database = strong_database},
                   {.m_next =
                        [this, next, item](const std::string& id) {
                            fleet().record("sent " + id + " WRITE " + item + " " + std::to_string(++*next));
                            return "WRITE " + item + " " + std::to_string(*next);
                        },
                    .m_on_answer =
                        [this, next, &acknowledged](const std::string& id, const caller_answer& reply) {
                            record_answer(id, reply);
                            acknowledged = reply.succeeded() ? *next : acknowledged;
                            if (reply.succeeded() && m_superseded_commits.contains(id)) {
                                // Not counted as ONE: the machine was cut off shortly before.
                                ++m_lost_writes;
                                fleet().record("NOTE " + id +
                                               " was acknowledged; it was committed at a primary that had "
                                               "been replaced");
                            }
                        },
                    .m_on_lost = [this](const std::string& id) { fleet().record("unanswered " + id); }});
    }

    /// Reads the item at the added machine. What was acknowledged before the read was sent must be seen.
    void start_reader() {
        const auto due = std::make_shared<std::uint64_t>(0);
        add_caller(
            {.m_name = "reader", .m_address = fleet().caller_address(added), .m_database = strong_database},
            {.m_next =
                 [this, due](const std::string& id) {
                     *due = m_written;
                     fleet().record("sent " + id + " READ w, acknowledged " + std::to_string(*due));
                     return std::string("READ w");
                 },
             .m_on_answer =
                 [this, due](const std::string& id, const caller_answer& reply) {
                     record_answer(id, reply);
                     const bool has_value = reply.m_rows.size() == 1 && reply.m_rows.front() != "none";
                     const std::uint64_t seen = has_value ? std::stoull(reply.m_rows.front()) : 0;
                     m_reads += reply.succeeded() ? 1 : 0;
                     if (reply.succeeded() && seen < *due) {
                         report("STALE: " + id + " on a primary route read " + std::to_string(seen) + "; " +
                                std::to_string(*due) + " was acknowledged before it was sent");
                     }
                 },
             .m_on_lost = [this](const std::string& id) { fleet().record("unanswered " + id); }});
    }

    void record_answer(const std::string& id, const caller_answer& reply) {
        std::string rows;
        for (const std::string& row : reply.m_rows) {
            rows += " ROW " + row;
        }
        fleet().record("answered " + id + rows +
                       (reply.succeeded() ? " COMPLETE " + reply.m_proof : " ERROR " + reply.m_error) +
                       " READY " + reply.m_state);
    }

    void on_execution(const standin::line_execution& what) override {
        fleet().record("run " + what.m_id + " at " + what.m_upstream + ": " + what.m_text);
    }

    void on_commit(const std::string& upstream, const standin::line_commit& what) override {
        if (upstream != fleet().primary()) {
            m_superseded_commits.insert(what.m_statement_ids.begin(), what.m_statement_ids.end());
        }
    }

    void add_caller(review::caller_options options, review_caller::outputs callbacks) {
        m_callers.push_back(
            std::make_shared<review_caller>(loop(), std::move(options), std::move(callbacks)));
        m_callers.back()->start();
    }

    void end() {
        for (const auto& each : m_callers) {
            each->stop();
        }
        fleet().record(std::to_string(m_reads) + " reads were served by the added machine, " +
                       std::to_string(m_written) + " writes acknowledged by another one; " +
                       std::to_string(m_lost_writes) +
                       " acknowledged writes were committed at a primary that had been replaced");
        finish(m_reads > 0 && m_written > 0);
    }

    bool m_waits_for_added{false};
    std::string m_leaving;
    std::uint64_t m_written{0};
    std::uint64_t m_written_at_added{0};
    std::set<std::string> m_superseded_commits;
    int m_lost_writes{0};
    int m_reads{0};
    std::vector<std::shared_ptr<review_caller>> m_callers;
};

/// Callers prepare statements whose texts differ and run each once. The platform kills a process that
/// exceeds its memory.
class many_shapes_case : public review_case {
public:
    static constexpr int gateways = 3;

    using review_case::review_case;

private:
    /// Machines with such callers, and callers on each. The other machine has none.
    static constexpr int loaded = 2;
    static constexpr int callers_each = 2;
    /// Less than half of the longest message (1 MiB).
    static constexpr std::size_t shape_bytes = 400000;
    static constexpr int memory_mb = 260;
    static constexpr milliseconds watch_interval{100};
    static constexpr milliseconds longest{95000};
    static constexpr int ends_of_a_fault = 3;

    void begin() override {
        for (int number = 0; number < gateways; ++number) {
            fleet().start_gateway(number);
        }
        when_ready(gateways, [this] {
            for (int number = 0; number < loaded; ++number) {
                for (int caller = 0; caller < callers_each; ++caller) {
                    start_caller(number, caller);
                }
            }
            m_end_at = fleet().elapsed() + longest;
            watch();
        });
    }

    void start_caller(int gateway, int caller) {
        const std::string name = "caller-" + std::to_string(gateway) + "-" + std::to_string(caller);
        const auto number = std::make_shared<int>(0);
        m_callers.push_back(std::make_shared<review_caller>(
            loop(),
            review::caller_options{.m_name = name,
                                   .m_address = fleet().caller_address(gateway),
                                   .m_database = strong_database,
                                   .m_pause = milliseconds{1}},
            review_caller::outputs{
                .m_next =
                    [this, name, number](const std::string& id) {
                        const bool prepares = ++*number % 2 == 1;
                        const int shape = has_trouble() ? *number / 2 : 0;
                        fleet().record("sent " + id +
                                       (prepares ? " PREPARE s READ, " + std::to_string(shape_bytes) +
                                                       " bytes, shape " + std::to_string(shape)
                                                 : " EXECUTE s w"));
                        return prepares ? "PREPARE s READ " + shape_text(name, shape) : "EXECUTE s w";
                    },
                .m_on_answer =
                    [this, number](const std::string& id, const caller_answer& reply) {
                        m_answered += reply.succeeded() ? 1 : 0;
                        // A session that has ended has forgotten the name.
                        *number = reply.succeeded() ? *number : 0;
                        fleet().record(
                            "answered " + id +
                            (reply.succeeded() ? " COMPLETE " + reply.m_proof : " ERROR " + reply.m_error));
                    },
                .m_on_lost =
                    [this, number](const std::string& id) {
                        *number = 0;
                        ++m_unanswered;
                        fleet().record("unanswered " + id);
                    }}));
        m_callers.back()->start();
    }

    static std::string shape_text(const std::string& caller, int shape) {
        std::string text = caller + "-" + std::to_string(shape) + "-";
        text.resize(shape_bytes, 'x');
        return text;
    }

    /// Does what the platform does: kills a process that exceeds the memory of its machine.
    void watch() {
        int ended_often = 0;
        for (int number = 0; number < gateways; ++number) {
            const int used = fleet().memory_mb(number);
            m_most[number] = std::max(m_most[number], used);
            if (used > memory_mb) {
                fleet().record("platform: " + std::to_string(used) + " MB in use, " +
                               std::to_string(memory_mb) + " are allowed");
                ++m_ends[number];
                [[maybe_unused]] const bool sent = fleet().signal_gateway(number, SIGKILL);
            }
            ended_often += m_ends[number] >= ends_of_a_fault ? 1 : 0;
        }
        if (ended_often < loaded && fleet().elapsed() < m_end_at) {
            loop().after(watch_interval, [this] { watch(); });
            return;
        }
        for (const auto& each : m_callers) {
            each->stop();
        }
        for (int number = 0; number < gateways; ++number) {
            fleet().record("gateway " + std::to_string(number) + ": at most " +
                           std::to_string(m_most[number]) + " MB, ended " + std::to_string(m_ends[number]) +
                           " times");
        }
        fleet().record(std::to_string(m_answered) + " statements were answered with success, " +
                       std::to_string(m_unanswered) + " got no answer");
        if (ended_often >= loaded) {
            report("Fault: the processes of " + std::to_string(ended_often) + " machines of " +
                   std::to_string(gateways) + " exceeded their memory three times");
        }
        finish(m_answered > 0);
    }

    milliseconds m_end_at{0};
    std::map<int, int> m_most;
    std::map<int, int> m_ends;
    int m_answered{0};
    int m_unanswered{0};
    std::vector<std::shared_ptr<review_caller>> m_callers;
};

/// A caller sends many statements that set session values, without waiting for the answers.
class many_values_case : public review_case {
public:
    static constexpr int gateways = 3;

    using review_case::review_case;

private:
    static constexpr int values = 40000;
    static constexpr milliseconds question_interval{1000};
    static constexpr milliseconds flood_after{3000};
    static constexpr milliseconds end_time{60000};
    /// The lease of an instance: whatever stands still for so long has lost it.
    static constexpr milliseconds longest_standstill{10000};

    void begin() override {
        for (int number = 0; number < gateways; ++number) {
            fleet().start_gateway(number);
        }
        when_ready(gateways, [this] {
            start_reader();
            ask();
            loop().after(flood_after, [this] { flood(); });
            loop().after(end_time, [this] { end(); });
        });
    }

    /// The platform's question, one at a time.
    void ask() {
        m_asked_at = fleet().elapsed();
        fleet().count_ready(1, [this](int ready) {
            const milliseconds waited = fleet().elapsed() - m_asked_at;
            note("readiness", waited);
            fleet().record("readiness of gateway 0: " + std::string(ready == 1 ? "200" : "no 200") +
                           " after " + std::to_string(waited.count()) + " ms");
            loop().after(question_interval, [this] { ask(); });
        });
    }

    void start_reader() {
        m_reader = std::make_shared<review_caller>(
            loop(),
            review::caller_options{.m_name = "reader",
                                   .m_address = fleet().caller_address(0),
                                   .m_database = strong_database,
                                   .m_pause = milliseconds{200}},
            review_caller::outputs{
                .m_next =
                    [this](const std::string& id) {
                        m_sent_at = fleet().elapsed();
                        fleet().record("sent " + id + " READ w");
                        return std::string("READ w");
                    },
                .m_on_answer =
                    [this](const std::string& id, const caller_answer& reply) {
                        const milliseconds waited = fleet().elapsed() - m_sent_at;
                        note("read", waited);
                        m_reads += reply.succeeded() ? 1 : 0;
                        fleet().record("answered " + id + (reply.succeeded() ? " COMPLETE " : " ERROR ") +
                                       reply.m_proof + reply.m_error + " after " +
                                       std::to_string(waited.count()) + " ms");
                    },
                .m_on_lost = [this](const std::string& id) { fleet().record("unanswered " + id); }});
        m_reader->start();
    }

    void flood() {
        fleet().record("flood: a caller sends " + std::to_string(values) + " statements that set " +
                       (has_trouble() ? "as many values" : "one value"));
        std::string text = std::string("START ") + strong_database + " flood\r\n";
        for (int number = 0; number < values; ++number) {
            text += "QUERY f" + std::to_string(number) + " SET v" +
                    std::to_string(has_trouble() ? number : 0) + " 1\r\n";
        }
        fleet().record(std::to_string(text.size()) + " bytes");
        m_flood = tcp_stream::connect(
            loop(), fleet().caller_address(0),
            {.m_on_connected = [this, text] { m_flood->write(text); },
             .m_on_bytes =
                 [this](std::string_view bytes) {
                     m_flood_answers += std::count(bytes.begin(), bytes.end(), '\n');
                 },
             .m_on_closed = [this](close_reason) { fleet().record("flood: the connection was closed"); }});
    }

    void note(const std::string& what, milliseconds waited) {
        if (waited >= longest_standstill) {
            report("Fault: gateway 0 left a " + what + " without an answer for " +
                   std::to_string(waited.count()) + " ms");
        }
        m_longest = std::max(m_longest, waited);
    }

    void end() {
        note("readiness question", fleet().elapsed() - m_asked_at);
        fleet().record("flood: " + std::to_string(m_flood_answers) + " lines came back; longest wait " +
                       std::to_string(m_longest.count()) + " ms, " + std::to_string(m_reads) +
                       " reads served");
        m_reader->stop();
        m_flood->close();
        finish(m_reads > 0);
    }

    std::shared_ptr<review_caller> m_reader;
    std::shared_ptr<tcp_stream> m_flood;
    std::int64_t m_flood_answers{0};
    milliseconds m_asked_at{0};
    milliseconds m_sent_at{0};
    milliseconds m_longest{0};
    int m_reads{0};
};

/// Callers, each with a session value of its own, share the connections to a primary
/// that fails a part of its requests.
class failed_values_case : public review_case {
public:
    static constexpr int gateways = 3;

    using review_case::review_case;

private:
    static constexpr int callers = 6;
    /// With the three that there are from the start: one of seven is a share of 0.14.
    static constexpr int more_upstreams = 4;
    static constexpr double grey_share = 0.4;
    static constexpr milliseconds grey_after{3000};
    static constexpr milliseconds grey_time{6000};
    static constexpr milliseconds end_time{12000};

    void begin() override {
        for (int number = 0; number < gateways; ++number) {
            fleet().start_gateway(number);
        }
        for (int count = 0; count < more_upstreams; ++count) {
            fleet().add_upstream();
        }
        when_ready(gateways, [this] {
            for (int number = 0; number < callers; ++number) {
                start_caller(number);
            }
            if (has_trouble()) {
                loop().after(grey_after, [this] { fleet().set_grey(fleet().primary(), grey_share); });
                loop().after(grey_after + grey_time, [this] { fleet().set_grey(fleet().primary(), 0); });
            }
            loop().after(end_time, [this] { end(); });
        });
    }

    /// Sets its value once in a session, then reads and writes.
    void start_caller(int number) {
        const std::string name = "caller" + std::to_string(number);
        // What the caller has sent in this session, and whether its value is acknowledged.
        struct progress {
            int m_sent{0};
            bool m_is_set{false};
        };
        const auto session = std::make_shared<progress>();
        m_callers.push_back(std::make_shared<review_caller>(
            loop(),
            review::caller_options{.m_name = name,
                                   .m_address = fleet().caller_address(0),
                                   .m_database = strong_database,
                                   .m_pause = milliseconds{5}},
            review_caller::outputs{
                .m_next =
                    [this, name, session](const std::string& id) {
                        const std::string text = !session->m_is_set           ? "SET owner " + name
                                                 : ++session->m_sent % 4 == 0 ? "WRITE " + name + " " + id
                                                                              : "READ " + name;
                        if (session->m_is_set) {
                            m_expected[id] = name;
                        }
                        fleet().record("sent " + id + " " + text);
                        return text;
                    },
                .m_on_answer =
                    [this, session](const std::string& id, const caller_answer& reply) {
                        fleet().record(
                            "answered " + id +
                            (reply.succeeded() ? " COMPLETE " + reply.m_proof : " ERROR " + reply.m_error));
                        session->m_is_set = session->m_is_set || reply.succeeded();
                        const auto wrong = m_wrong_runs.find(id);
                        if (reply.succeeded() && wrong != m_wrong_runs.end()) {
                            report("PINNED: " + id + " was answered with success; it ran with " +
                                   wrong->second + " where its session has owner=" + m_expected.at(id));
                        }
                        m_served += reply.succeeded() ? 1 : 0;
                    },
                .m_on_lost =
                    [this, session](const std::string& id) {
                        *session = {};
                        fleet().record("unanswered " + id);
                    },
                .m_on_connected = [session] { *session = {}; }}));
        m_callers.back()->start();
    }

    void on_execution(const standin::line_execution& what) override {
        std::string values;
        for (const auto& [name, value] : what.m_variables) {
            values.append(values.empty() ? "" : " ").append(name).append("=").append(value);
        }
        fleet().record("run " + what.m_id + " at " + what.m_upstream + " with " +
                       (values.empty() ? "no values" : values) + ": " + what.m_text);
        const auto expected = m_expected.find(what.m_id);
        if (expected != m_expected.end() && values != "owner=" + expected->second) {
            m_wrong_runs[what.m_id] = values.empty() ? "no values" : values;
        }
    }

    void end() {
        for (const auto& each : m_callers) {
            each->stop();
        }
        fleet().record(std::to_string(m_served) + " statements were served, " +
                       std::to_string(m_wrong_runs.size()) + " ran with other values");
        finish(m_served > 0);
    }

    std::map<std::string, std::string> m_expected;   ///< Caller by statement id.
    std::map<std::string, std::string> m_wrong_runs; ///< Values by statement id.
    int m_served{0};
    std::vector<std::shared_ptr<review_caller>> m_callers;
};

template <class Case>
int play(reactor& loop, const std::string& directory, int first_port, bool has_trouble) {
    Case played(loop, {.m_directory = directory, .m_first_port = first_port, .m_gateways = Case::gateways},
                has_trouble);
    return played.run();
}

}

int main(int argc, char** argv) {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.size() != 4) {
        std::fprintf(stderr, "review-world CASE DIRECTORY FIRST-PORT TROUBLE\n");
        return exit_not_run;
    }
    qputenv("QT_NO_GLIB", "1");
    const QCoreApplication application(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    reactor loop;
    const int first_port = std::stoi(arguments[2]);
    const bool has_trouble = arguments[3] != "0";
    if (arguments[0] == "late-order") {
        return play<late_order_case>(loop, arguments[1], first_port, has_trouble);
    }
    if (arguments[0] == "forgotten-member") {
        return play<forgotten_member_case>(loop, arguments[1], first_port, has_trouble);
    }
    if (arguments[0] == "failed-values") {
        return play<failed_values_case>(loop, arguments[1], first_port, has_trouble);
    }
    if (arguments[0] == "many-shapes") {
        return play<many_shapes_case>(loop, arguments[1], first_port, has_trouble);
    }
    if (arguments[0] == "many-values") {
        return play<many_values_case>(loop, arguments[1], first_port, has_trouble);
    }
    return exit_not_run;
}
