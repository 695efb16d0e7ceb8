/// \file gap_load.cpp
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

constexpr int first_not_run_code = 1001;
constexpr int outcome_unknown = 1302;
constexpr int primary_replaced = 1310;

enum class fate { acked, not_run, unknown };

struct written {
    std::string m_key;
    fate m_fate;
    clock::time_point m_at;
};

class gap_writer {
public:
    gap_writer(const gap_load_options& options, int number, clock::time_point until)
        : m_options(options), m_number(number), m_until(until),
          m_at(static_cast<std::size_t>(number) % options.m_caller_addresses.size()),
          m_with_ids(options.m_request_ids && number % 2 == 0) {}

    void run() {
        while (clock::now() < m_until) {
            if (!m_session || !m_session->is_connected()) {
                connect();
                continue;
            }
            const std::string key = std::to_string(m_number) + "-" + std::to_string(m_next++);
            const fate known = write(key);
            m_written.push_back({key, known, clock::now()});
        }
    }

    [[nodiscard]] const std::vector<written>& all() const { return m_written; }

private:
    void connect() {
        m_at = (m_at + 1) % m_options.m_caller_addresses.size();
        m_session = std::make_unique<pg_session>(m_options.m_caller_addresses[m_at], m_options.m_group);
        if (!m_session->is_connected()) {
            std::this_thread::sleep_for(20ms);
        }
    }

    fate write(const std::string& key) {
        const std::string insert = "INSERT INTO gap VALUES ('" + key + "')";
        if (!m_with_ids) {
            return fate_of(m_session->run(insert));
        }
        // With an id a request whose fate is unknown is simply sent again.
        const std::string marked = "/* anvilmount: request_id=" + key + " */ " + insert;
        fate known = fate_of(m_session->run(marked));
        while (known != fate::acked && clock::now() < m_until + 2s) {
            if (!m_session->is_connected()) {
                connect();
                continue;
            }
            known = fate_of(m_session->run(marked));
        }
        return known == fate::not_run ? fate::unknown : known;
    }

    fate fate_of(const pg_answer& answer) const {
        if (answer.m_good) {
            return fate::acked;
        }
        const int code = answer.code();
        const bool unknown =
            code < first_not_run_code || code == outcome_unknown || code == primary_replaced;
        return unknown ? fate::unknown : fate::not_run;
    }

    const gap_load_options& m_options;
    int m_number;
    clock::time_point m_until;
    std::size_t m_at;
    bool m_with_ids;
    long m_next{0};
    std::unique_ptr<pg_session> m_session;
    std::vector<written> m_written;
};

/// Reads the whole table, trying every instance until one answers.
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

/// From the first acknowledgement to the end of the load.
double longest_gap_ms(std::vector<clock::time_point> acks, clock::time_point end) {
    acks.push_back(end);
    std::sort(acks.begin(), acks.end());
    clock::duration longest{0};
    for (std::size_t index = 1; index < acks.size(); ++index) {
        longest = std::max(longest, acks[index] - acks[index - 1]);
    }
    return std::chrono::duration<double, std::milli>(longest).count();
}

nlohmann::json judge(const std::vector<std::unique_ptr<gap_writer>>& writers,
                     const std::optional<std::map<std::string, int>>& table, clock::time_point end) {
    std::map<fate, long> count;
    long acked_lost = 0;
    long not_run_but_ran = 0;
    long unknown_ran = 0;
    long doubled = 0;
    std::vector<clock::time_point> acks;
    for (const auto& writer : writers) {
        for (const written& each : writer->all()) {
            ++count[each.m_fate];
            const int rows = table && table->contains(each.m_key) ? table->at(each.m_key) : 0;
            acked_lost += each.m_fate == fate::acked && rows == 0 ? 1 : 0;
            not_run_but_ran += each.m_fate == fate::not_run && rows > 0 ? 1 : 0;
            unknown_ran += each.m_fate == fate::unknown && rows > 0 ? 1 : 0;
            doubled += rows > 1 ? 1 : 0;
            if (each.m_fate == fate::acked && each.m_at <= end) {
                acks.push_back(each.m_at);
            }
        }
    }
    return {{"acked", count[fate::acked]},     {"not_run", count[fate::not_run]},
            {"unknown", count[fate::unknown]}, {"gap_ms", longest_gap_ms(std::move(acks), end)},
            {"acked_lost", acked_lost},        {"not_run_but_ran", not_run_but_ran},
            {"unknown_ran", unknown_ran},      {"doubled", doubled},
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
    return judge(writers, read_table(options), until);
}

}
