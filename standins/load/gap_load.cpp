/// \file gap_load.cpp
/// Runs one thread per writer and compares the reported outcomes with the table.
#include "load/gap_load.hpp"

#include "load/pg_session.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <thread>

namespace standin {
namespace {

using clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

/// Smallest result code that means that the statement did not run; outcome_unknown and
/// primary_replaced do not mean that.
constexpr int first_not_run_code = 1001;
constexpr int outcome_unknown = 1302;
constexpr int primary_replaced = 1310;

enum class insert_outcome { acknowledged, not_run, unknown };

/// One insert and the outcome that the proxy reported.
struct insert_record {
    std::string m_key;
    insert_outcome m_outcome;
    clock::time_point m_finished_at;
};

/// Inserts rows until the end time and records the reported outcomes.
class gap_writer {
public:
    gap_writer(const gap_load_options& options, int number, clock::time_point until)
        : m_options(options), m_number(number), m_end_time(until),
          m_address_index(static_cast<std::size_t>(number) % options.m_caller_addresses.size()),
          m_uses_request_ids(options.m_request_ids && number % 2 == 0) {}

    void run() {
        while (clock::now() < m_end_time) {
            if (!m_session || !m_session->is_connected()) {
                connect();
                continue;
            }
            const std::string key = std::to_string(m_number) + "-" + std::to_string(m_next_key++);
            const insert_outcome outcome = write(key);
            m_inserts.push_back({key, outcome, clock::now()});
        }
    }

    [[nodiscard]] const std::vector<insert_record>& inserts() const { return m_inserts; }

private:
    void connect() {
        m_address_index = (m_address_index + 1) % m_options.m_caller_addresses.size();
        m_session =
            std::make_unique<pg_session>(m_options.m_caller_addresses[m_address_index], m_options.m_group);
        if (!m_session->is_connected()) {
            std::this_thread::sleep_for(20ms);
        }
    }

    insert_outcome write(const std::string& key) {
        const std::string insert = "INSERT INTO gap VALUES ('" + key + "')";
        if (!m_uses_request_ids) {
            return classify(m_session->run(insert));
        }
        // An insert with a request id is sent again until it is acknowledged.
        const std::string insert_with_id = "/* anvilmount: request_id=" + key + " */ " + insert;
        insert_outcome outcome = classify(m_session->run(insert_with_id));
        while (outcome != insert_outcome::acknowledged && clock::now() < m_end_time + 2s) {
            if (!m_session->is_connected()) {
                connect();
                continue;
            }
            outcome = classify(m_session->run(insert_with_id));
        }
        return outcome == insert_outcome::not_run ? insert_outcome::unknown : outcome;
    }

    insert_outcome classify(const pg_answer& answer) const {
        if (answer.m_good) {
            return insert_outcome::acknowledged;
        }
        const int code = answer.code();
        const bool unknown =
            code < first_not_run_code || code == outcome_unknown || code == primary_replaced;
        return unknown ? insert_outcome::unknown : insert_outcome::not_run;
    }

    const gap_load_options& m_options;
    int m_number;
    clock::time_point m_end_time;
    std::size_t m_address_index;
    bool m_uses_request_ids;
    long m_next_key{0};
    std::unique_ptr<pg_session> m_session;
    std::vector<insert_record> m_inserts;
};

/// Returns the number of rows of each key. Tries the instances in turn until one
/// answers; returns nothing if none does in time.
std::optional<std::map<std::string, int>> read_table(const gap_load_options& options) {
    const auto until = clock::now() + options.m_settle_timeout;
    for (std::size_t at = 0; clock::now() < until; ++at) {
        pg_session session(options.m_caller_addresses[at % options.m_caller_addresses.size()],
                           options.m_group);
        const pg_answer all = session.run("SELECT k FROM gap");
        if (all.m_good) {
            std::map<std::string, int> counts;
            for (const auto& row : all.m_rows) {
                ++counts[row.front()];
            }
            return counts;
        }
        std::this_thread::sleep_for(50ms);
    }
    return std::nullopt;
}

/// Longest time without an acknowledgement, from the first one to the end of the load.
double longest_gap_ms(std::vector<clock::time_point> acks, clock::time_point end) {
    acks.push_back(end);
    std::sort(acks.begin(), acks.end());
    clock::duration longest{0};
    for (std::size_t index = 1; index < acks.size(); ++index) {
        longest = std::max(longest, acks[index] - acks[index - 1]);
    }
    return std::chrono::duration<double, std::milli>(longest).count();
}

nlohmann::json summarize(const std::vector<std::unique_ptr<gap_writer>>& writers,
                         const std::optional<std::map<std::string, int>>& table, clock::time_point end) {
    std::map<insert_outcome, long> counts_by_outcome;
    long acked_lost = 0;
    long not_run_but_ran = 0;
    long unknown_ran = 0;
    long doubled = 0;
    std::vector<clock::time_point> acks;
    for (const auto& writer : writers) {
        for (const insert_record& each : writer->inserts()) {
            ++counts_by_outcome[each.m_outcome];
            const int rows = table && table->contains(each.m_key) ? table->at(each.m_key) : 0;
            acked_lost += each.m_outcome == insert_outcome::acknowledged && rows == 0 ? 1 : 0;
            not_run_but_ran += each.m_outcome == insert_outcome::not_run && rows > 0 ? 1 : 0;
            unknown_ran += each.m_outcome == insert_outcome::unknown && rows > 0 ? 1 : 0;
            doubled += rows > 1 ? 1 : 0;
            if (each.m_outcome == insert_outcome::acknowledged && each.m_finished_at <= end) {
                acks.push_back(each.m_finished_at);
            }
        }
    }
    return {{"acked", counts_by_outcome[insert_outcome::acknowledged]},
            {"not_run", counts_by_outcome[insert_outcome::not_run]},
            {"unknown", counts_by_outcome[insert_outcome::unknown]},
            {"gap_ms", longest_gap_ms(std::move(acks), end)},
            {"acked_lost", acked_lost},
            {"not_run_but_ran", not_run_but_ran},
            {"unknown_ran", unknown_ran},
            {"doubled", doubled},
            {"table_read", table.has_value()}};
}

}

nlohmann::json run_gap_load(const gap_load_options& options) {
    {
        pg_session setup(options.m_caller_addresses.front(), options.m_group);
        setup.run("DROP TABLE IF EXISTS gap");
        setup.run("CREATE TABLE gap (k text)");
    }
    const clock::time_point until = clock::now() + options.m_duration;
    std::vector<std::unique_ptr<gap_writer>> writers;
    std::vector<std::thread> threads;
    for (int number = 0; number < options.m_connections; ++number) {
        writers.push_back(std::make_unique<gap_writer>(options, number, until));
        threads.emplace_back([writer = writers.back().get()] { writer->run(); });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    return summarize(writers, read_table(options), until);
}

}
