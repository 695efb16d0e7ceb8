/// \file many_prepared.cpp
/// Many sessions stay open, each with prepared statements that it keeps. With trouble each prepares 1,000
/// short ones; without it, 5.
#include "small_site.hpp"

namespace {

using namespace review;

constexpr int machines = 2;
constexpr int sessions_per_machine = 2800;
constexpr int opened_at_once = 8;
constexpr int names_with_trouble = 1000;
constexpr int names_without_trouble = 5;
constexpr std::chrono::seconds time_limit{100};

/// One thread opens a part of the sessions of one machine, one after the other, prepares the statements in
/// batches and reads all answers before the next batch. The sessions stay open until the process of the
/// machine ends; then all are opened again.
void hold_sessions(const machine& target, int part, int names, const std::atomic<bool>& stop,
                   std::atomic<int>& opened, std::atomic<int>& prepared, record_file& record) {
    while (!stop) {
        std::vector<std::unique_ptr<caller>> held;
        bool lost = false;
        for (int number = part; number < sessions_per_machine && !lost && !stop; number += opened_at_once) {
            held.push_back(std::make_unique<caller>(target.m_callers));
            caller& session = *held.back();
            if (!session.is_open() || !session.send("START look u" + std::to_string(number) + "\r\n") ||
                !session.answer()) {
                lost = true;
                break;
            }
            ++opened;
            for (int name = 0; name < names && !lost;) {
                std::string batch;
                int sent = 0;
                for (; sent < 100 && name < names; ++sent, ++name) {
                    batch += "QUERY q" + std::to_string(name) + " PREPARE s" + std::to_string(name) +
                             " READ q2c\r\n";
                }
                lost = !session.send(batch);
                std::optional<std::string> reply;
                for (; sent > 0 && !lost; --sent) {
                    reply = session.answer();
                    lost = !reply;
                    prepared += reply && reply->starts_with("COMPLETE") ? 1 : 0;
                }
                if (number == part && reply) {
                    record.line("client of " + target.m_name + ": PREPARE s" + std::to_string(name - 1) +
                                " READ q2c -> " + *reply);
                }
            }
        }
        // Idle from now on: wait for the end of the last connection.
        while (!stop && !lost) {
            pollfd watched{.fd = held.back()->descriptor(), .events = POLLIN, .revents = 0};
            lost = poll(&watched, 1, 200) > 0;
        }
        held.clear();
        std::this_thread::sleep_for(milliseconds{300});
    }
}

}

int main(int argc, char** argv) {
    if (argc != 4) {
        std::cerr << "usage: many-prepared ROOT DIRECTORY RECORD\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* const chosen = std::getenv("TROUBLE");
    const bool trouble = chosen == nullptr || std::string(chosen) != "0";
    const int names = trouble ? names_with_trouble : names_without_trouble;
    record_file record(argv[3]);
    record.line(std::to_string(sessions_per_machine) + " sessions a machine, " + std::to_string(names) +
                " prepared statements each");
    try {
        small_site site({.m_root = argv[1], .m_directory = argv[2], .m_gateways = machines}, record);
        if (!site.wait_until_ready(milliseconds{20000})) {
            record.line("the gateways did not become ready");
            site.finish(2);
        }
        std::atomic<bool> stop{false};
        std::vector<std::unique_ptr<std::atomic<int>>> opened;
        std::vector<std::unique_ptr<std::atomic<int>>> prepared;
        std::vector<std::thread> clients;
        for (machine& each : site.machines()) {
            opened.push_back(std::make_unique<std::atomic<int>>(0));
            prepared.push_back(std::make_unique<std::atomic<int>>(0));
            for (int part = 0; part < opened_at_once; ++part) {
                clients.emplace_back([&each, part, names, &stop, &record, open = opened.back().get(),
                                      done = prepared.back().get()] {
                    hold_sessions(each, part, names, stop, *open, *done, record);
                });
            }
        }
        const auto ends = [](const machine& each) { return each.m_kills_for_memory + each.m_own_ends; };
        const auto fault = [&] {
            return std::count_if(site.machines().begin(), site.machines().end(),
                                 [&](const machine& each) { return ends(each) >= 3; }) >= 2;
        };
        const auto until = steady::now() + (trouble ? time_limit : time_limit / 3);
        while (steady::now() < until && !fault()) {
            site.watch();
            std::this_thread::sleep_for(milliseconds{10});
        }
        for (std::size_t number = 0; number < site.machines().size(); ++number) {
            const machine& each = site.machines()[number];
            record.line("machine " + each.m_name + ": " + std::to_string(*opened[number]) +
                        " sessions opened, " + std::to_string(*prepared[number]) +
                        " statements prepared; most memory " + std::to_string(each.m_peak_kb) +
                        " kB; ended " + std::to_string(ends(each)) + " times, " +
                        std::to_string(each.m_kills_for_memory) + " of them over the memory");
        }
        const bool broken = fault();
        record.line(broken ? "RULE BROKEN: on two machines or more processes ended three times"
                           : "rule held");
        site.finish(broken ? 1 : 0);
    } catch (const std::exception& error) {
        record.line(std::string("cannot run: ") + error.what());
        return 2;
    }
}
