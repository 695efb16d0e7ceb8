/// \file review_caller.hpp
/// A client of the line protocol that keeps one session open and sends one statement at a time.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/wire/reactor.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// The answer to one statement.
struct caller_answer {
    std::string m_proof{}; ///< Empty unless the statement succeeded.
    std::string m_error{}; ///< The ERROR line; empty if there was none.
    std::vector<std::string> m_rows{};
    std::string m_state{}; ///< Of the READY line.

    [[nodiscard]] bool succeeded() const { return !m_proof.empty(); }
};

struct caller_options {
    std::string m_name{};
    anvilmount::endpoint m_address{};
    std::string m_database{};
    anvilmount::milliseconds m_pause{20}; ///< Between an answer and the next statement.
};

/// Runs statements from `next` until stop(). Connects again after its session has ended.
class review_caller : public std::enable_shared_from_this<review_caller> {
public:
    struct outputs {
        /// Returns the text of the next statement; it is about to be sent under this id.
        std::function<std::string(const std::string& id)> m_next{};
        std::function<void(const std::string& id, const caller_answer&)> m_on_answer{};
        /// The session ended with this statement unanswered.
        std::function<void(const std::string& id)> m_on_lost{};
        /// A session begins; optional.
        std::function<void()> m_on_connected{};
    };

    review_caller(anvilmount::reactor& loop, caller_options options, outputs callbacks)
        : m_loop(loop), m_options(std::move(options)), m_outputs(std::move(callbacks)) {}

    void start() { connect(); }
    void stop();

private:
    void connect();
    void connect_later();
    void on_bytes(std::string_view bytes);
    void on_line(const std::string& line);
    void on_closed();
    void send_next();
    void after(anvilmount::milliseconds delay, void (review_caller::*action)());

    anvilmount::reactor& m_loop;
    caller_options m_options;
    outputs m_outputs;
    std::shared_ptr<anvilmount::tcp_stream> m_stream;
    std::string m_unread;
    std::string m_outstanding; ///< Id of the statement without an answer; empty: none.
    caller_answer m_answer;
    std::uint64_t m_number{0};
    bool m_opened{false};
    bool m_stopped{false};
};

}
