/// \file store_contract.cpp
/// The store client against a small fake of the metadata store over real sockets: which requests it
/// sends, how it interprets each answer, and which status it reports for each failure of the store.
#include "http_channel.hpp"
#include "store_client.hpp"

#include "anvilmount/wire/tcp_listener.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <QByteArray>
#include <QCoreApplication>
#include <QEventLoop>

#include <boost/test/unit_test.hpp>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <utility>

using namespace anvilmount;
using namespace std::chrono_literals;
using gateway::store_answer;
using gateway::store_status;

namespace {

std::string base64(const std::string& text) {
    return QByteArray::fromStdString(text).toBase64().toStdString();
}

std::string row(const std::string& table, const std::string& key, const std::string& value, int version) {
    return R"({"table":")" + table + R"(","part":"","key":")" + key + R"(","value":")" + base64(value) +
           R"(","ver":)" + std::to_string(version) + "}";
}

std::string http_response(int status, const std::string& body, const std::string& headers = {}) {
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n" + headers + "\r\n" + body;
}

/// Answers each request by the first rule whose text it contains, and keeps every request.
struct fake_store_server {
    struct rule {
        std::string m_contains{};
        std::string m_reply{}; ///< "close" closes the connection, "silence" sends no answer.
    };

    int m_count{1};
    std::string m_name{"test"};
    char* m_arguments[2]{m_name.data(), nullptr};
    QCoreApplication m_application{m_count, m_arguments};
    reactor m_loop;
    std::vector<rule> m_rules;
    std::vector<std::string> m_requests;
    bool m_closes_next{false}; ///< The next request is read, and its connection closed.
    std::vector<std::shared_ptr<tcp_stream>> m_streams;
    std::vector<int> m_descriptors; ///< Of m_streams.
    std::unique_ptr<tcp_listener> m_listener;
    std::unique_ptr<store_client> m_client;

    explicit fake_store_server(int offset) {
        const char* base = std::getenv("ANVILMOUNT_TEST_PORTS");
        const int first = base == nullptr ? 20000 : std::stoi(base);
        const endpoint where{.m_address = "127.0.0.1",
                             .m_port = static_cast<std::uint16_t>(first + offset)};
        auto made = tcp_listener::listen(m_loop, where, [this](int fd) { accept(fd); });
        m_listener = std::move(made.value());
        m_client = std::make_unique<store_client>(m_loop, where);
    }

    void accept(int fd) {
        const std::size_t index = m_streams.size();
        m_descriptors.push_back(fd);
        m_streams.push_back(tcp_stream::adopt(
            m_loop, fd,
            {.m_on_bytes = [this, index](std::string_view bytes) { answer(index, std::string(bytes)); },
             .m_on_closed = [](close_reason) {}}));
    }

    /// Ends the sending direction of the first connection, and waits until the client's kernel knows.
    void end_first_connection() {
        BOOST_REQUIRE(shutdown(m_descriptors.front(), SHUT_WR) == 0);
        tcp_info info{};
        while (info.tcpi_state != TCP_FIN_WAIT2) {
            socklen_t size = sizeof info;
            BOOST_REQUIRE(getsockopt(m_descriptors.front(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0);
        }
    }

    /// Sends `text` on the first connection, and waits until the client's kernel has it.
    void send_on_first_connection(const std::string& text) {
        m_streams.front()->write(text);
        int unacknowledged = 1;
        while (unacknowledged > 0) {
            BOOST_REQUIRE(ioctl(m_descriptors.front(), SIOCOUTQ, &unacknowledged) == 0);
        }
    }

    void answer(std::size_t index, const std::string& request) {
        m_requests.push_back(request);
        if (std::exchange(m_closes_next, false)) {
            m_streams[index]->close();
            return;
        }
        const auto found = std::find_if(m_rules.begin(), m_rules.end(), [&](const rule& each) {
            return request.find(each.m_contains) != std::string::npos;
        });
        if (found == m_rules.end() || found->m_reply == "silence") {
            return;
        }
        if (found->m_reply == "close") {
            m_streams[index]->close();
        } else {
            m_streams[index]->write(found->m_reply);
        }
    }

    store_answer wait_for(const std::function<void(gateway::store_callback)>& send_request) {
        std::optional<store_answer> received;
        send_request([&](const store_answer& reply) { received = reply; });
        while (!received) {
            QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
        }
        return *received;
    }

    store_answer read(const std::string& table) {
        return wait_for(
            [&](gateway::store_callback done) { m_client->port().m_read_table(table, std::move(done)); });
    }

    store_answer change(const gateway::store_change& what) {
        return wait_for(
            [&](gateway::store_callback done) { m_client->port().m_change(what, std::move(done)); });
    }

    store_answer watch(const std::string& table, std::uint64_t number, milliseconds wait) {
        const store_version after{.m_number = number};
        return wait_for([&](gateway::store_callback done) {
            m_client->port().m_watch(table, after, wait, std::move(done));
        });
    }
};

const gateway::store_change sample_change{
    .m_expected = {{.m_table = "t", .m_key = "k", .m_version = {.m_number = 4}}},
    .m_writes = {{.m_table = "t", .m_key = "k", .m_value = "new"}},
    .m_removals = {{.m_table = "t", .m_key = "old"}}};

}

BOOST_AUTO_TEST_CASE(a_table_is_read_page_by_page) {
    fake_store_server store(30);
    store.m_rules = {{.m_contains = "&from=",
                      .m_reply = http_response(200, R"({"rows":[)" + row("t", "b", "2", 6) +
                                                        R"(],"ver":9,"nowMs":1,"hasMore":false})")},
                     {.m_contains = "rows-get?table=t",
                      .m_reply = http_response(200, R"({"rows":[)" + row("t", "a", "1", 5) +
                                                        R"(],"ver":7,"nowMs":1,"hasMore":true})")}};
    const store_answer received = store.read("t");
    BOOST_TEST((received.m_status == store_status::done));
    BOOST_REQUIRE(received.m_rows.size() == 2U);
    BOOST_TEST(received.m_rows[1].m_value == "2");
    // A watch continues from the version of the first page, so that no change between the pages is
    // missed.
    BOOST_TEST(received.m_version.m_number == 7U);
}

BOOST_AUTO_TEST_CASE(versions_carry_the_era_that_the_store_names) {
    const std::string body = R"({"rows":[)" + row("t", "a", "1", 5) + R"(],"ver":7,"nowMs":1})";
    struct era_case {
        std::string m_header;
        std::uint64_t m_era;
    };
    fake_store_server store(37);
    for (const era_case& each : std::vector<era_case>{{"Store-Era: 3\r\n", 3},
                                                      {"store-era:4\r\n", 4},
                                                      {"", 0},
                                                      {"Store-Era: x\r\n", 0},
                                                      {"Store-Era: 5x\r\n", 0},
                                                      {"Store-Era: -1\r\n", 0}}) {
        BOOST_TEST_CONTEXT(each.m_header) {
            store.m_rules = {{.m_contains = "", .m_reply = http_response(200, body, each.m_header)}};
            const store_answer received = store.read("t");
            BOOST_TEST((received.m_status == store_status::done));
            BOOST_TEST((received.m_version == store_version{.m_era = each.m_era, .m_number = 7}));
            BOOST_TEST(
                (received.m_rows.at(0).m_version == store_version{.m_era = each.m_era, .m_number = 5}));
        }
    }
}

BOOST_AUTO_TEST_CASE(pages_from_before_and_after_a_restore_make_no_table) {
    fake_store_server store(38);
    store.m_rules = {
        {.m_contains = "&from=",
         .m_reply = http_response(
             200, R"({"rows":[)" + row("t", "b", "2", 6) + R"(],"ver":9,"nowMs":1,"hasMore":false})",
             "Store-Era: 2\r\n")},
        {.m_contains = "rows-get?table=t",
         .m_reply = http_response(
             200, R"({"rows":[)" + row("t", "a", "1", 5) + R"(],"ver":7,"nowMs":1,"hasMore":true})",
             "Store-Era: 1\r\n")}};
    BOOST_TEST((store.read("t").m_status == store_status::unknown));
}

BOOST_AUTO_TEST_CASE(a_conflicting_change_returns_the_current_rows) {
    fake_store_server store(31);
    store.m_rules = {{.m_contains = "rows-tx",
                      .m_reply = http_response(412, R"({"rows":[)" + row("t", "k", "now", 8) +
                                                        R"(],"ver":12,"nowMs":1})")}};
    const store_answer received = store.change(sample_change);
    BOOST_TEST((received.m_status == store_status::conflict));
    BOOST_REQUIRE(received.m_rows.size() == 1U);
    BOOST_TEST(received.m_rows[0].m_table == "t");
    BOOST_TEST(received.m_rows[0].m_key == "k");
    BOOST_TEST(received.m_rows[0].m_version.m_number == 8U);
}

BOOST_AUTO_TEST_CASE(a_change_sends_its_conditions_writes_and_removals) {
    fake_store_server store(32);
    store.m_rules = {{.m_contains = "rows-tx", .m_reply = http_response(200, R"({"ver":13,"nowMs":1})")}};
    const store_answer received = store.change(sample_change);
    BOOST_TEST((received.m_status == store_status::done));
    BOOST_TEST(received.m_version.m_number == 13U);
    const std::string& sent = store.m_requests.at(0);
    BOOST_TEST(sent.starts_with("POST /anvilmount/rows-tx"));
    BOOST_TEST(sent.find(R"("ver":4)") != std::string::npos);
    BOOST_TEST(sent.find(base64("new")) != std::string::npos);
    BOOST_TEST(sent.find(R"("remove":[{"key":"old")") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_watch_returns_changed_and_removed_rows) {
    fake_store_server store(33);
    store.m_rules = {
        {.m_contains = "after=5&waitMs=2000",
         .m_reply = http_response(
             200, R"({"rows":[)" + row("t", "a", "1", 6) +
                      R"(,{"table":"t","part":"","key":"b","ver":7,"removed":true}],"ver":7})")}};
    const store_answer received = store.watch("t", 5, 2000ms);
    BOOST_REQUIRE(received.m_rows.size() == 2U);
    BOOST_TEST(!received.m_rows[0].m_removed);
    BOOST_TEST(received.m_rows[1].m_removed);
}

BOOST_AUTO_TEST_CASE(a_read_of_changes_does_not_wait_and_returns_a_delta) {
    fake_store_server store(36);
    store.m_rules = {
        {.m_contains = "rows-feed?table=t&after=5&waitMs=0",
         .m_reply = http_response(200, R"({"rows":[)" + row("t", "a", "1", 6) + R"(],"ver":7})")},
        {.m_contains = "after=2&waitMs=0", .m_reply = http_response(410, "{}")}};
    const auto read_changes = [&](std::uint64_t after) {
        return store.wait_for([&](gateway::store_callback done) {
            store.m_client->port().m_read_changes("t", {.m_number = after}, std::move(done));
        });
    };
    const store_answer changes = read_changes(5);
    BOOST_TEST(changes.m_is_delta);
    BOOST_TEST(changes.m_rows.size() == 1U);
    BOOST_TEST((read_changes(2).m_status == store_status::history_gone));
    BOOST_TEST(store.m_client->calls().at("poll t") == 2U);
}

BOOST_AUTO_TEST_CASE(a_new_watch_of_a_table_replaces_the_one_in_flight) {
    fake_store_server store(34);
    store.m_rules = {{.m_contains = "after=5&", .m_reply = "silence"},
                     {.m_contains = "after=6&", .m_reply = http_response(200, R"({"rows":[],"ver":8})")}};
    bool first_answered = false;
    store.m_client->port().m_watch("t", {.m_number = 5}, 20000ms,
                                   [&](const store_answer&) { first_answered = true; });
    BOOST_TEST(store.watch("t", 6, 20000ms).m_version.m_number == 8U);
    BOOST_TEST(!first_answered);
}

BOOST_AUTO_TEST_CASE(each_store_failure_is_reported_with_its_status) {
    struct failure_case {
        const char* m_description;
        std::string m_reply;
        store_status m_status;
    };
    const std::vector<failure_case> failures{
        {"busy", http_response(503, R"({"error":"busy"})"), store_status::refused},
        {"too many calls", http_response(429, R"({"error":"many"})"), store_status::refused},
        {"not allowed", http_response(403, "{}"), store_status::refused},
        {"history gone", http_response(410, "{}"), store_status::history_gone},
        {"broken off", "close", store_status::unknown},
        {"no JSON", http_response(200, "what?"), store_status::unknown},
        {"no version", http_response(200, R"({"rows":[]})"), store_status::unknown},
        {"a row without a key", http_response(200, R"({"rows":[{"ver":1}],"ver":2})"),
         store_status::unknown},
        {"no HTTP", "what?\r\n\r\n", store_status::unknown}};
    fake_store_server store(35);
    for (const failure_case& each : failures) {
        BOOST_TEST_CONTEXT(each.m_description) {
            store.m_rules = {{.m_contains = "", .m_reply = each.m_reply}};
            BOOST_TEST((store.read("t").m_status == each.m_status));
            BOOST_TEST((store.change(sample_change).m_status == each.m_status));
            BOOST_TEST((store.watch("t", 1, 100ms).m_status == each.m_status));
        }
    }
}

/// Guards against a path to the store that counts as failing since the store has closed a connection which
/// it believed to be idle.
BOOST_AUTO_TEST_CASE(a_read_that_meets_the_closing_of_a_kept_connection_is_sent_again) {
    fake_store_server store(40);
    const std::string reply = http_response(200, R"({"rows":[],"ver":7,"nowMs":1,"hasMore":false})");
    store.m_rules = {{.m_contains = "rows-get", .m_reply = reply},
                     {.m_contains = "rows-feed", .m_reply = reply},
                     {.m_contains = "rows-tx", .m_reply = reply}};
    store.read("t");
    store.m_closes_next = true;
    BOOST_TEST((store.read("t").m_status == store_status::done));
    store.watch("t", 1, 100ms);
    store.m_closes_next = true;
    BOOST_TEST((store.watch("t", 1, 100ms).m_status == store_status::done));
    BOOST_TEST(store.m_client->calls().at("read t") == 3U);
    BOOST_TEST(store.m_client->calls().at("watch t") == 3U);
}

/// A store that closes every connection is down, and a change may have been made.
BOOST_AUTO_TEST_CASE(a_change_and_a_repeated_read_that_meet_a_closing_are_not_sent_again) {
    fake_store_server store(41);
    const std::string reply = http_response(200, R"({"rows":[],"ver":7,"nowMs":1,"hasMore":false})");
    store.m_rules = {{.m_contains = "rows-get?table=t", .m_reply = reply},
                     {.m_contains = "rows-get?table=u", .m_reply = "close"},
                     {.m_contains = "rows-tx", .m_reply = reply}};
    store.read("t");
    store.m_closes_next = true;
    BOOST_TEST((store.change(sample_change).m_status == store_status::unknown));
    BOOST_TEST(store.m_client->calls().at("change") == 1U);
    store.read("t");
    BOOST_TEST((store.read("u").m_status == store_status::unknown));
    BOOST_TEST(store.m_client->calls().at("read u") == 2U);
}

/// Guards against a change that is lost, or an answer to it that was sent for something else, since a
/// kept connection has ended or received bytes that the event loop has not reported yet.
BOOST_AUTO_TEST_CASE(a_kept_connection_on_which_something_has_arrived_gets_no_request) {
    for (const bool ends : {true, false}) {
        fake_store_server store(ends ? 42 : 43);
        store.m_rules = {
            {.m_contains = "rows-get",
             .m_reply = http_response(200, R"({"rows":[],"ver":7,"nowMs":1,"hasMore":false})")},
            {.m_contains = "rows-tx", .m_reply = http_response(200, R"({"ver":8})")}};
        store.read("t");
        if (ends) {
            store.end_first_connection();
        } else {
            store.send_on_first_connection(http_response(408, "idle too long"));
        }
        BOOST_TEST((store.change(sample_change).m_status == store_status::done));
    }
}
