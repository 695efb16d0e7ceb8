/// \file behind_promoted.cpp
/// One replica receives nothing for 5.5 s. Meanwhile the primary crashes (crash), or reports that it drains
/// before a planned shutdown and goes on serving (drain). The other replica has all commits, answers, and
/// serves the reads. The service has syncReplicas 1.
#include "small_site.hpp"

namespace {

using namespace review;

constexpr int machines = 3;
constexpr int readers_per_machine = 20;
constexpr int writers_per_machine = 3;
constexpr std::size_t deaf_replica = 2;
constexpr std::size_t other_replica = 1;
constexpr milliseconds deaf_time{5500};
constexpr milliseconds crash_after{4500};
constexpr milliseconds drain_after{2300};
constexpr milliseconds watch_after{12000};

/// One session: a statement, its answer, a pause, the next. Connects again when it is cut or refused.
/// `acknowledged` hears of each success.
void run_caller(const machine& target, const std::string& name, const std::string& database,
                const std::string& statement, milliseconds pause, const std::atomic<bool>& stop,
                const std::function<void(const std::string& id)>& acknowledged) {
    const std::string start = "START " + database + " " + name + "\r\n";
    const std::string text = " " + statement + "\r\n";
    for (int connection = 0; !stop; ++connection) {
        caller session(target.m_callers);
        bool open = session.send(start) && session.answer().has_value();
        for (int number = 0; open && !stop; ++number) {
            const std::string id = name + "-" + std::to_string(connection) + "-" + std::to_string(number);
            std::string query = "QUERY ";
            query.append(id).append(text);
            open = session.send(query);
            const auto reply = open ? session.answer() : std::nullopt;
            open = reply.has_value() && reply->find("ERROR") == std::string::npos;
            if (open) {
                acknowledged(id);
            }
            std::this_thread::sleep_for(pause);
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
}

}

int main(int argc, char** argv) {
    if (argc != 5) {
        std::cerr << "usage: behind-promoted ROOT DIRECTORY RECORD crash|drain\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* const chosen = std::getenv("TROUBLE");
    const bool trouble = chosen == nullptr || std::string(chosen) != "0";
    record_file record(argv[3]);
    const bool drains = std::string(argv[4]) == "drain";
    try {
        small_site site({.m_root = argv[1],
                         .m_directory = argv[2],
                         .m_gateways = machines,
                         .m_service = {.m_work = milliseconds{24}, .m_sync_replicas = 1}},
                        record);
        std::mutex lock;
        std::set<std::string> acknowledged;
        std::atomic<int> reads{0};
        std::atomic<int> lost{0};
        std::atomic<int> promotions{0};
        site.set_promotion_handler([&](int number, const std::vector<commit>& log) {
            const std::lock_guard guard(lock);
            std::set<std::string> held;
            for (const commit& each : log) {
                held.insert(each.m_id);
            }
            std::string missing;
            int count = 0;
            for (const std::string& each : acknowledged) {
                if (!held.contains(each)) {
                    ++count;
                    missing += count <= 5 ? " " + each : "";
                }
            }
            lost += count;
            ++promotions;
            record.line("backend " + service::id_of(static_cast<std::size_t>(number)) + " leads, with " +
                        std::to_string(log.size()) + " commits; of " + std::to_string(acknowledged.size()) +
                        " acknowledged commits " + std::to_string(count) + " are not in its log" +
                        (count > 0 ? ", such as" + missing : std::string{}));
        });
        if (!site.wait_until_ready(milliseconds{20000})) {
            record.line("the gateways did not become ready");
            site.finish(2);
        }
        std::atomic<bool> stop{false};
        for (machine& each : site.machines()) {
            for (int number = 0; number < readers_per_machine; ++number) {
                std::thread([&, number] {
                    run_caller(each, "r" + std::to_string(number) + each.m_name, "look", "READ 1a4",
                               milliseconds{5}, stop, [&](const std::string&) { ++reads; });
                }).detach();
            }
            for (int number = 0; number < writers_per_machine; ++number) {
                std::thread([&, number] {
                    run_caller(each, "w" + std::to_string(number) + each.m_name, "pay", "WRITE 1a4 data",
                               milliseconds{60}, stop, [&](const std::string& id) {
                                   const std::lock_guard guard(lock);
                                   acknowledged.insert(id);
                                   if (acknowledged.size() % 50 == 0) {
                                       record.line("client: WRITE " + id + " -> COMPLETE, the " +
                                                   std::to_string(acknowledged.size()) + "th");
                                   }
                               });
                }).detach();
            }
        }
        const auto started_at = steady::now() + milliseconds{3000};
        bool is_deaf = false;
        bool has_crashed = false;
        bool heard_again = false;
        const auto until = started_at + crash_after + watch_after;
        while (steady::now() < until) {
            site.watch();
            const auto now = steady::now();
            if (trouble && !is_deaf && now >= started_at) {
                is_deaf = true;
                record.line("replica " + service::id_of(deaf_replica) + " receives nothing from now on");
                site.backends().set_deaf(deaf_replica, true);
            }
            if (trouble && !has_crashed && now >= started_at + (drains ? drain_after : crash_after)) {
                has_crashed = true;
                if (drains) {
                    site.report_draining(0);
                } else {
                    site.backends().crash(0);
                }
                record.line(std::string(drains ? "the primary i-0 reports draining and goes on serving"
                                               : "the primary i-0 crashes") +
                            "; received: " + service::id_of(other_replica) + " " +
                            std::to_string(site.backends().received_by(other_replica)) + " commits, " +
                            service::id_of(deaf_replica) + " " +
                            std::to_string(site.backends().received_by(deaf_replica)));
            }
            if (trouble && !heard_again && now >= started_at + deaf_time) {
                heard_again = true;
                site.backends().set_deaf(deaf_replica, false);
                record.line("replica " + service::id_of(deaf_replica) + " can receive again");
            }
            std::this_thread::sleep_for(milliseconds{10});
        }
        const bool broken = lost > 0;
        {
            const std::lock_guard guard(lock);
            record.line(std::to_string(reads) + " reads served, " + std::to_string(acknowledged.size()) +
                        " writes acknowledged, " + std::to_string(promotions) + " promotions");
        }
        record.line(broken ? "RULE BROKEN (LOST): " + std::to_string(lost) +
                                 " acknowledged commits are not in the log of the promoted backend"
                           : "rule held");
        site.finish(broken ? 1 : 0);
    } catch (const std::exception& error) {
        record.line(std::string("cannot run: ") + error.what());
        return 2;
    }
}
