/// \file mixed_load.cpp
/// Runs one thread per caller. Each chooses its operations from its own seed.
#include "load/mixed_load.hpp"

#include "load/pg_session.hpp"

#include <atomic>
#include <chrono>
#include <mutex>
#include <random>
#include <thread>

namespace standin {
namespace {

struct tally {
    std::atomic<long> m_statements{0};
    std::atomic<long> m_errors{0};
    std::atomic<long> m_mismatches{0};
    std::atomic<long> m_roams{0};
    std::mutex m_lock;
    std::string m_first_error; ///< Guarded by m_lock.

    void error(const std::string& text) {
        ++m_errors;
        const std::lock_guard guard(m_lock);
        if (m_first_error.empty()) {
            m_first_error = text;
        }
    }
};

/// A caller that owns one row and tracks the row's expected value.
class mixed_caller {
public:
    mixed_caller(const mixed_load_options& options, int number, tally& counts)
        : m_options(options), m_number(number), m_counts(counts),
          m_random(options.m_seed + static_cast<unsigned>(number)),
          m_address_index(static_cast<std::size_t>(number) % options.m_caller_addresses.size()) {}

    void run() {
        connect("");
        const std::string key = std::to_string(m_number);
        check(m_session->run("INSERT INTO load VALUES (" + key + ", 0)"), "INSERT 0 1");
        m_session->prepare("own", "SELECT v FROM load WHERE id = $1");
        for (int done = 0; done < m_options.m_statements; ++done) {
            if (m_options.m_roam_every > 0 && done % m_options.m_roam_every == m_options.m_roam_every - 1) {
                roam();
            }
            run_random_operation(key);
        }
    }

private:
    void connect(const std::string& options) {
        m_session = std::make_unique<pg_session>(m_options.m_caller_addresses[m_address_index],
                                                 m_options.m_group, options);
        if (!m_session->is_connected()) {
            m_counts.error(m_session->connect_error());
        }
    }

    void roam() {
        const std::string token = m_session->token();
        m_address_index = (m_address_index + 1 + m_random() % m_options.m_caller_addresses.size()) %
                          m_options.m_caller_addresses.size();
        const bool bring_token = m_random() % 2 == 0 && !token.empty();
        connect(bring_token ? "-c anvilmount.session_token=" + token : "");
        m_session->prepare("own", "SELECT v FROM load WHERE id = $1");
        ++m_counts.m_roams;
    }

    void run_random_operation(const std::string& key) {
        switch (m_random() % 6) {
        case 0: {
            const std::string text = "echo-" + key + "-" + std::to_string(m_random());
            expect(m_session->run("SELECT '" + text + "'"), text);
            break;
        }
        case 1: {
            const std::string text = "parameter-" + key + "-" + std::to_string(m_random());
            expect(m_session->run("SELECT $1", {text}), text);
            break;
        }
        case 2:
            if (check(m_session->run("UPDATE load SET v = v + 1 WHERE id = " + key), "UPDATE 1")) {
                ++m_expected_value;
            }
            break;
        case 3:
            expect(m_session->run_prepared("own", {key}), std::to_string(m_expected_value));
            break;
        case 4:
            transaction(key);
            break;
        default:
            expect(m_session->run("SELECT v FROM load WHERE id = " + key),
                   std::to_string(m_expected_value));
            break;
        }
    }

    void transaction(const std::string& key) {
        const bool commit = m_random() % 2 == 0;
        check(m_session->run("BEGIN"), "BEGIN");
        check(m_session->run("UPDATE load SET v = v + 10 WHERE id = $1", {key}), "UPDATE 1");
        expect(m_session->run("SELECT v FROM load WHERE id = " + key),
               std::to_string(m_expected_value + 10));
        if (check(m_session->run(commit ? "COMMIT" : "ROLLBACK"), commit ? "COMMIT" : "ROLLBACK") &&
            commit) {
            m_expected_value += 10;
        }
    }

    void expect(const pg_answer& answer, const std::string& value) {
        ++m_counts.m_statements;
        if (!answer.m_good) {
            m_counts.error(answer.m_error);
        } else if (answer.value() != value) {
            ++m_counts.m_mismatches;
            m_counts.error("expected '" + value + "', got '" + answer.value() + "'");
        }
    }

    bool check(const pg_answer& answer, const std::string& tag) {
        ++m_counts.m_statements;
        if (!answer.m_good) {
            m_counts.error(answer.m_error);
        } else if (answer.m_tag != tag) {
            ++m_counts.m_mismatches;
            m_counts.error("expected " + tag + ", got " + answer.m_tag);
        }
        return answer.m_good;
    }

    const mixed_load_options& m_options;
    int m_number;
    tally& m_counts;
    std::mt19937 m_random;
    std::size_t m_address_index;
    std::unique_ptr<pg_session> m_session;
    long m_expected_value{0}; ///< Of the caller's row.
};

}

nlohmann::json run_mixed_load(const mixed_load_options& options) {
    tally counts;
    pg_session setup(options.m_caller_addresses.front(), options.m_group);
    setup.run("DROP TABLE IF EXISTS load");
    setup.run("CREATE TABLE load (id int primary key, v bigint)");
    const auto start = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(options.m_connections));
    for (int number = 0; number < options.m_connections; ++number) {
        threads.emplace_back([&options, number, &counts] { mixed_caller(options, number, counts).run(); });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    const std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - start;
    return {{"statements", counts.m_statements.load()},
            {"errors", counts.m_errors.load()},
            {"mismatches", counts.m_mismatches.load()},
            {"roams", counts.m_roams.load()},
            {"seconds", seconds.count()},
            {"statements_per_s", static_cast<double>(counts.m_statements.load()) / seconds.count()},
            {"first_error", counts.m_first_error}};
}

}
