/// \file read_load.cpp
/// Runs the sessions, the bounded-staleness readers and one publisher, which writes
/// the row that those readers read, in a thread each.
#include "load/read_load.hpp"

#include "load/pg_session.hpp"

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

namespace standin {
namespace {

using clock = std::chrono::steady_clock;

constexpr int stays_per_write = 4; ///< One connection in this many begins with a write.

/// Values of the row that bounded-staleness readers read, with the time of their
/// acknowledgement.
class acknowledged_values {
public:
    void add(long value) {
        const std::lock_guard guard(m_lock);
        m_values.emplace_back(clock::now(), value);
    }

    /// Returns the newest value acknowledged at or before `moment`, or 0.
    [[nodiscard]] long newest_before(clock::time_point moment) {
        const std::lock_guard guard(m_lock);
        long value = 0;
        for (const auto& [when, each] : m_values) {
            value = when <= moment ? each : value;
        }
        return value;
    }

private:
    std::mutex m_lock;
    std::deque<std::pair<clock::time_point, long>> m_values; ///< Guarded by m_lock; ordered by time.
};

struct read_tally {
    std::atomic<long> m_session_reads{0};
    std::atomic<long> m_bounded_reads{0};
    std::atomic<long> m_session_replica_reads{0};
    std::atomic<long> m_bounded_replica_reads{0};
    std::atomic<long> m_ryw_violations{0};
    std::atomic<long> m_staleness_violations{0};
    std::atomic<long> m_roams{0};
    std::atomic<long> m_errors{0};
    std::atomic<bool> m_done{false};
};

/// A read's value and whether a replica served it. The row and the role are read in
/// one script, so by one upstream.
struct served_read {
    bool m_good{false};
    long m_value{0};
    bool m_by_replica{false};
};

served_read read_row(pg_session& session, const std::string& key) {
    served_read read;
    PQsendQuery(session.native(),
                ("SELECT v FROM reads WHERE id = " + key + "; SHOW transaction_read_only").c_str());
    int part = 0;
    for (PGresult* result = PQgetResult(session.native()); result != nullptr;
         result = PQgetResult(session.native())) {
        if (PQresultStatus(result) == PGRES_TUPLES_OK && PQntuples(result) == 1) {
            const std::string value = PQgetvalue(result, 0, 0);
            if (part == 0) {
                read.m_value = std::atol(value.c_str());
            } else {
                read.m_by_replica = value == "on";
                read.m_good = true;
            }
        }
        ++part;
        PQclear(result);
    }
    return read;
}

/// Reconnects m_roams times and checks that each read shows the session's own writes.
void roaming_session(const read_load_options& options, int number, read_tally& tally) {
    std::mt19937 random(options.m_seed + static_cast<unsigned>(number));
    const std::string key = std::to_string(number);
    std::string token;
    long written = 0;
    for (int stay = 0; stay <= options.m_roams; ++stay) {
        const bool bring_token = options.m_carry_tokens && !token.empty() && random() % 4 != 0;
        pg_session session(options.m_caller_addresses[random() % options.m_caller_addresses.size()],
                           options.m_group, bring_token ? "-c anvilmount.session_token=" + token : "");
        tally.m_roams += stay > 0 ? 1 : 0;
        if (random() % stays_per_write == 0) {
            const bool good = session.run("UPDATE reads SET v = v + 1 WHERE id = " + key).m_good;
            written += good ? 1 : 0;
            tally.m_errors += good ? 0 : 1;
        }
        for (int count = 0; count < options.m_reads_per_stay; ++count) {
            const served_read read = read_row(session, key);
            ++tally.m_session_reads;
            tally.m_errors += read.m_good ? 0 : 1;
            tally.m_session_replica_reads += read.m_by_replica ? 1 : 0;
            tally.m_ryw_violations += read.m_good && read.m_value < written ? 1 : 0;
        }
        token = session.token();
    }
}

/// Checks that each read shows the writes acknowledged before the staleness bound.
void bounded_staleness_reader(const read_load_options& options, int number, read_tally& tally,
                              acknowledged_values& acknowledged) {
    std::mt19937 random(options.m_seed + static_cast<unsigned>(number));
    while (!tally.m_done) {
        pg_session session(
            options.m_caller_addresses[random() % options.m_caller_addresses.size()], options.m_group,
            "-c anvilmount.max_staleness=" + std::to_string(options.m_max_staleness.count()));
        for (int count = 0; count < options.m_reads_per_stay && !tally.m_done; ++count) {
            const clock::time_point sent_at = clock::now();
            const served_read read = read_row(session, "0");
            ++tally.m_bounded_reads;
            tally.m_errors += read.m_good ? 0 : 1;
            tally.m_bounded_replica_reads += read.m_by_replica ? 1 : 0;
            tally.m_staleness_violations +=
                read.m_good && read.m_value < acknowledged.newest_before(sent_at - options.m_max_staleness)
                    ? 1
                    : 0;
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
    }
}

/// Updates the row of the bounded-staleness readers until the load is done.
void publisher(const read_load_options& options, const read_tally& tally,
               acknowledged_values& acknowledged) {
    pg_session session(options.m_caller_addresses.front(), options.m_group);
    for (long value = 1; !tally.m_done; ++value) {
        if (session.run("UPDATE reads SET v = " + std::to_string(value) + " WHERE id = 0").m_good) {
            acknowledged.add(value);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
}

}

nlohmann::json run_read_load(const read_load_options& options) {
    {
        pg_session setup(options.m_caller_addresses.front(), options.m_group);
        setup.run("DROP TABLE IF EXISTS reads");
        setup.run("CREATE TABLE reads (id int primary key, v bigint)");
        for (int number = 0; number <= options.m_connections; ++number) {
            setup.run("INSERT INTO reads VALUES (" + std::to_string(number) + ", 0)");
        }
    }
    read_tally tally;
    acknowledged_values acknowledged;
    const int bounded_readers = options.m_connections / 3;
    std::vector<std::thread> background;
    std::vector<std::thread> sessions;
    background.emplace_back([&] { publisher(options, tally, acknowledged); });
    for (int number = 1; number <= options.m_connections; ++number) {
        if (number <= bounded_readers) {
            background.emplace_back(
                [&, number] { bounded_staleness_reader(options, number, tally, acknowledged); });
        } else {
            sessions.emplace_back([&, number] { roaming_session(options, number, tally); });
        }
    }
    for (std::thread& thread : sessions) {
        thread.join();
    }
    tally.m_done = true;
    for (std::thread& thread : background) {
        thread.join();
    }
    return {{"session_reads", tally.m_session_reads.load()},
            {"aged_reads", tally.m_bounded_reads.load()},
            {"replica_session", tally.m_session_replica_reads.load()},
            {"replica_aged", tally.m_bounded_replica_reads.load()},
            {"ryw_violations", tally.m_ryw_violations.load()},
            {"age_violations", tally.m_staleness_violations.load()},
            {"roamed_sessions", tally.m_roams.load()},
            {"errors", tally.m_errors.load()}};
}

}
