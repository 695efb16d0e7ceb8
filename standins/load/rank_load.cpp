/// \file rank_load.cpp
/// Runs one thread per connection with exponentially distributed arrivals.
#include "load/rank_load.hpp"

#include "load/pg_session.hpp"

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace standin {
namespace {

using clock = std::chrono::steady_clock;

constexpr int rank_count = 3;
/// Result codes in this range mean that the request was refused, except outcome_unknown.
constexpr int first_refusal = 1204;
constexpr int last_refusal = 1314;
constexpr int outcome_unknown = 1302;

/// Results of one rank, collected from its workers.
struct rank_tally {
    std::mutex m_lock;
    long m_offered{0};
    long m_refused{0};
    long m_errors{0};
    std::vector<double> m_times_ms; ///< Latencies of the served requests.
    std::set<std::string> m_refused_keys;
    std::string m_first_error;
};

/// One connection that sends the requests of one rank at their arrival times.
class rank_worker {
public:
    rank_worker(const rank_load_options& options, int rank, int number, rank_tally& tally,
                clock::time_point start)
        : m_options(options), m_rank(rank), m_number(number), m_tally(tally), m_start(start),
          m_random(options.m_seed + static_cast<unsigned>(rank * 1000 + number)) {}

    void run() {
        const double rate =
            m_options.m_rates[static_cast<std::size_t>(m_rank - 1)] / m_options.m_connections;
        if (rate <= 0) {
            return;
        }
        connect();
        std::exponential_distribution<double> interval(rate);
        clock::time_point arrival = m_start;
        while (true) {
            arrival += std::chrono::duration_cast<clock::duration>(
                std::chrono::duration<double>(interval(m_random)));
            if (arrival >= m_start + m_options.m_duration) {
                return;
            }
            send_request(arrival);
        }
    }

private:
    void connect() {
        std::string settings = "-c anvilmount.deadline=" + std::to_string(m_options.m_deadline.count());
        if (m_options.m_ranked) {
            settings += " -c anvilmount.rank=" + std::to_string(m_rank);
        }
        const std::size_t at = static_cast<std::size_t>(m_number) % m_options.m_caller_addresses.size();
        m_session = std::make_unique<pg_session>(m_options.m_caller_addresses[at], m_options.m_group,
                                                 settings, "ranks");
        m_session->run("SELECT 1"); // Obtains a session token, which a session in use has.
    }

    void send_request(clock::time_point arrival) {
        std::this_thread::sleep_until(arrival);
        const std::string key =
            std::to_string(m_rank) + "-" + std::to_string(m_number) + "-" + std::to_string(m_next_key++);
        pg_answer answer;
        const bool too_late = clock::now() - arrival > m_options.m_deadline;
        if (!too_late) {
            answer = m_session->run(statement(key));
        }
        const std::chrono::duration<double, std::milli> took = clock::now() - arrival;
        const std::lock_guard guard(m_tally.m_lock);
        ++m_tally.m_offered;
        if (answer.m_good) {
            m_tally.m_times_ms.push_back(took.count());
            return;
        }
        const int code = answer.code();
        const bool refused =
            too_late || (code >= first_refusal && code <= last_refusal && code != outcome_unknown);
        m_tally.m_refused += refused ? 1 : 0;
        m_tally.m_errors += refused ? 0 : 1;
        if (refused && m_rank == 1) {
            m_tally.m_refused_keys.insert(key);
        }
        if (!refused && m_tally.m_first_error.empty()) {
            m_tally.m_first_error = answer.m_error;
        }
    }

    [[nodiscard]] std::string statement(const std::string& key) const {
        switch (m_rank) {
        case 1:
            return "INSERT INTO ranks VALUES ('" + key + "')";
        case 2:
            return "SELECT 1";
        default:
            return "SELECT pg_sleep(0.03)";
        }
    }

    const rank_load_options& m_options;
    int m_rank;
    int m_number;
    rank_tally& m_tally;
    clock::time_point m_start;
    std::mt19937 m_random;
    std::unique_ptr<pg_session> m_session;
    long m_next_key{0};
};

nlohmann::json summary(int rank, rank_tally& tally) {
    std::vector<double>& times = tally.m_times_ms;
    std::sort(times.begin(), times.end());
    const auto quantile = [&](double share) {
        return times.empty()
                   ? 0.0
                   : times[std::min(times.size() - 1,
                                    static_cast<std::size_t>(share * static_cast<double>(times.size())))];
    };
    const double offered = std::max<double>(1.0, static_cast<double>(tally.m_offered));
    return {{"rank", rank},
            {"offered", tally.m_offered},
            {"served", times.size()},
            {"served_share", static_cast<double>(times.size()) / offered},
            {"p50_ms", quantile(0.5)},
            {"p99_ms", quantile(0.99)},
            {"refused", tally.m_refused},
            {"errors", tally.m_errors},
            {"first_error", tally.m_first_error}};
}

/// Counts the refused inserts whose rows are in the table.
long refused_but_ran(const rank_load_options& options, const rank_tally& orders) {
    pg_session session(options.m_caller_addresses.front(), options.m_group);
    long count = 0;
    for (const auto& row : session.run("SELECT k FROM ranks").m_rows) {
        count += orders.m_refused_keys.contains(row.front()) ? 1 : 0;
    }
    return count;
}

}

nlohmann::json run_rank_load(const rank_load_options& options) {
    {
        pg_session setup(options.m_caller_addresses.front(), options.m_group);
        setup.run("DROP TABLE IF EXISTS ranks");
        setup.run("CREATE TABLE ranks (k text)");
    }
    std::array<rank_tally, rank_count> tallies;
    std::vector<std::thread> threads;
    const clock::time_point start = clock::now() + std::chrono::milliseconds{500};
    for (int rank = 1; rank <= rank_count; ++rank) {
        for (int number = 0; number < options.m_connections; ++number) {
            rank_tally& tally = tallies[static_cast<std::size_t>(rank - 1)];
            threads.emplace_back([&options, rank, number, &tally, start] {
                rank_worker(options, rank, number, tally, start).run();
            });
        }
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    nlohmann::json all = nlohmann::json::array();
    for (int rank = 1; rank <= rank_count; ++rank) {
        all.push_back(summary(rank, tallies[static_cast<std::size_t>(rank - 1)]));
    }
    return {{"ranks", all}, {"not_run_but_ran", refused_but_ran(options, tallies[0])}};
}

}
