/// \file many_rows.cpp
/// One caller a machine reads, and reads the whole answer before it goes on. With trouble the answer has
/// 90,000 rows of 1,000 bytes; without it, 90.
#include "small_site.hpp"

namespace {

using namespace review;

constexpr int machines = 3;
constexpr int rows_with_trouble = 90000;
constexpr int rows_without_trouble = 90;
constexpr std::size_t row_bytes = 1000;
constexpr std::chrono::seconds time_limit{60};

void read_answers(const machine& target, const std::atomic<bool>& stop, record_file& record) {
    for (int connection = 0; !stop; ++connection) {
        caller session(target.m_callers);
        bool open = session.send("START look reader\r\n") && session.answer().has_value();
        for (int number = 0; open && !stop; ++number) {
            const std::string id = "r" + std::to_string(connection) + "-" + std::to_string(number);
            int rows = 0;
            open = session.send("QUERY " + id + " READ 1a4\r\n");
            const auto reply = open ? session.answer_without_rows(rows) : std::nullopt;
            if (number < 3) {
                record.line("client of " + target.m_name + ": QUERY " + id + " READ 1a4 -> " +
                            std::to_string(rows) + " rows, " + reply.value_or("connection ended"));
            }
            open = reply.has_value() && reply->find("COMPLETE") != std::string::npos;
            std::this_thread::sleep_for(milliseconds{200});
        }
        std::this_thread::sleep_for(milliseconds{200});
    }
}

}

int main(int argc, char** argv) {
    if (argc != 4) {
        std::cerr << "usage: many-rows ROOT DIRECTORY RECORD\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* const chosen = std::getenv("TROUBLE");
    const bool trouble = chosen == nullptr || std::string(chosen) != "0";
    record_file record(argv[3]);
    try {
        small_site site({.m_root = argv[1],
                         .m_directory = argv[2],
                         .m_gateways = machines,
                         .m_service = {.m_rows = trouble ? rows_with_trouble : rows_without_trouble,
                                       .m_row_bytes = row_bytes}},
                        record);
        if (!site.wait_until_ready(milliseconds{20000})) {
            record.line("the gateways did not become ready");
            site.finish(2);
        }
        std::atomic<bool> stop{false};
        for (machine& each : site.machines()) {
            std::thread([&each, &stop, &record] { read_answers(each, stop, record); }).detach();
        }
        const auto ends = [](const machine& each) { return each.m_kills_for_memory + each.m_own_ends; };
        const auto fault = [&] {
            return std::count_if(site.machines().begin(), site.machines().end(),
                                 [&](const machine& each) { return ends(each) >= 3; }) >= 2;
        };
        const auto until = steady::now() + (trouble ? time_limit : time_limit / 3);
        while (steady::now() < until && !fault()) {
            site.watch();
            std::this_thread::sleep_for(milliseconds{2});
        }
        for (const machine& each : site.machines()) {
            record.line("machine " + each.m_name + ": most memory " + std::to_string(each.m_peak_kb) +
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
