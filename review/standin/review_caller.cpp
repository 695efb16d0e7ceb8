/// \file review_caller.cpp
/// Implements the client: reads lines, completes an answer at READY, and connects again after a pause.
#include "review_caller.hpp"

#include <utility>

namespace review {
namespace {

using namespace anvilmount;

constexpr milliseconds reconnect_pause{50};

}

void review_caller::stop() {
    m_stopped = true;
    if (m_stream) {
        m_stream->close();
    }
}

void review_caller::after(milliseconds delay, void (review_caller::*action)()) {
    m_loop.after(delay, [weak = weak_from_this(), action] {
        if (const auto self = weak.lock(); self && !self->m_stopped) {
            (self.get()->*action)();
        }
    });
}

void review_caller::connect() {
    m_opened = false;
    m_unread.clear();
    m_answer = {};
    const std::weak_ptr<review_caller> weak = weak_from_this();
    m_stream =
        tcp_stream::connect(m_loop, m_options.m_address,
                            {.m_on_connected =
                                 [weak] {
                                     if (const auto self = weak.lock()) {
                                         self->m_stream->write("START " + self->m_options.m_database + " " +
                                                               self->m_options.m_name + "\r\n");
                                     }
                                 },
                             .m_on_bytes =
                                 [weak](std::string_view bytes) {
                                     if (const auto self = weak.lock()) {
                                         self->on_bytes(bytes);
                                     }
                                 },
                             .m_on_closed =
                                 [weak](close_reason) {
                                     if (const auto self = weak.lock()) {
                                         self->on_closed();
                                     }
                                 }});
}

void review_caller::connect_later() {
    after(reconnect_pause, &review_caller::connect);
}

void review_caller::on_closed() {
    if (m_stopped) {
        return;
    }
    const std::string lost = std::exchange(m_outstanding, {});
    if (!lost.empty()) {
        m_outputs.m_on_lost(lost);
    }
    connect_later();
}

void review_caller::on_bytes(std::string_view bytes) {
    m_unread.append(bytes);
    for (std::size_t end = m_unread.find("\r\n"); end != std::string::npos && m_stream->is_open();
         end = m_unread.find("\r\n")) {
        const std::string line = m_unread.substr(0, end);
        m_unread.erase(0, end + 2);
        on_line(line);
    }
}

void review_caller::on_line(const std::string& line) {
    const std::string word = line.substr(0, line.find(' '));
    const std::string rest = line.size() > word.size() ? line.substr(word.size() + 1) : std::string{};
    if (!m_opened) {
        if (word == "READY") {
            m_opened = true;
            send_next();
        } else {
            m_stream->close();
            connect_later();
        }
        return;
    }
    if (m_outstanding.empty()) {
        // The end of the session is announced.
        m_stream->close();
        connect_later();
        return;
    }
    if (word == "ROW") {
        m_answer.m_rows.push_back(rest);
    } else if (word == "COMPLETE") {
        m_answer.m_proof = rest;
    } else if (word == "ERROR") {
        m_answer.m_proof.clear();
        m_answer.m_error = rest;
    } else if (word == "READY") {
        m_answer.m_state = rest.substr(0, 1);
        const std::string id = std::exchange(m_outstanding, {});
        const caller_answer done = std::exchange(m_answer, {});
        m_outputs.m_on_answer(id, done);
        after(m_options.m_pause, &review_caller::send_next);
    }
}

void review_caller::send_next() {
    if (!m_opened || !m_stream->is_open() || !m_outstanding.empty()) {
        return;
    }
    m_outstanding = m_options.m_name + "-" + std::to_string(++m_number);
    m_stream->write("QUERY " + m_outstanding + " " + m_outputs.m_next(m_outstanding) + "\r\n");
}

}
