/// \file store_relay.hpp
/// Asks the metadata store for other instances, so that one call serves many:
/// followed tables are answered from the copies kept here, and changes that
/// hold under the same conditions are made together.
#pragma once

#include "anvilmount/gateway/store_access.hpp"
#include "anvilmount/gateway/table_follower.hpp"

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace anvilmount::gateway {

class store_relay {
public:
    /// Gets the encoded reply; nothing when the question could not be read.
    using responder = std::function<void(std::optional<std::string>)>;

    /// `own` asks over this instance's connections: a question is never passed on twice.
    store_relay(const clock_port& clock, const store_port& own, store_access& access, metrics& counters);
    ~store_relay() = default;
    store_relay(const store_relay&) = delete;
    store_relay& operator=(const store_relay&) = delete;

    /// Answers questions about this table from `copy`, which must outlive the relay.
    void share_copy(const table_follower& copy);

    void serve(const std::string& question, responder respond);

    /// To be called every few milliseconds.
    void tick();

private:
    struct waiting_follower {
        follow_request m_question{};
        steady_time m_until{};
        store_callback m_done{};
    };

    /// Changes that stand or fall together.
    struct change_batch {
        store_change m_change{};
        steady_time m_due{};
        std::vector<store_callback> m_done{};
    };

    struct cached_table {
        steady_time m_asked_at{};
        store_answer m_answer{};
    };

    [[nodiscard]] const table_follower* copy_of(const std::string& table) const;
    void read(const read_request& question, const store_callback& done);
    void follow(const follow_request& question, const store_callback& done);
    [[nodiscard]] static std::optional<store_answer> news(const table_follower& copy,
                                                          const follow_request& question);
    void change(const store_change& question, const store_callback& done);
    void send_due();

    const clock_port& m_clock;
    const store_port& m_own;
    store_access& m_access;
    metrics& m_metrics;
    std::map<std::string, const table_follower*> m_copies;
    std::map<std::string, cached_table> m_cached; ///< Tables without a copy.
    std::list<waiting_follower> m_followers;
    std::list<change_batch> m_batches;
    bool m_change_under_way{false}; ///< One at a time.
};

}
