/// \file process_order.cpp
/// The order of an instance's processes: single rules, and a reader's view of one key through random
/// restarts, late changes and a store that goes back.
#include "anvilmount/decisions/process_order.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

using namespace anvilmount;

namespace {

store_version version(std::uint64_t era, std::uint64_t number) {
    return {.m_era = era, .m_number = number};
}

/// The row under one key, and the changes of it that are still under way.
class modelled_row {
public:
    struct content {
        int m_process{0};
        store_version m_stated{};
        store_version m_version{};
    };

    [[nodiscard]] const std::optional<content>& row() const { return m_row; }
    [[nodiscard]] std::uint64_t era() const { return m_era; }

    /// Writes the row (`stated` set) or removes it, if it is still the one of `expected`.
    bool change(const store_version& expected, int process, std::optional<store_version> stated) {
        if ((m_row ? m_row->m_version : store_version{}) != expected) {
            return false;
        }
        ++m_number;
        m_row.reset();
        if (stated) {
            m_row =
                content{.m_process = process, .m_stated = *stated, .m_version = version(m_era, m_number)};
        }
        return true;
    }

    void back_up() {
        m_saved_row = m_row;
        m_saved_number = m_number;
    }

    void restore() {
        m_row = m_saved_row;
        m_number = m_saved_number;
        ++m_era;
        if (m_row) {
            m_row->m_version.m_era = m_era;
        }
    }

private:
    std::optional<content> m_row;
    std::uint64_t m_number{10};
    std::uint64_t m_era{1};
    std::optional<content> m_saved_row;
    std::uint64_t m_saved_number{10};
};

/// The processes of one instance: one at a time, each writes the row on condition.
class modelled_instance {
public:
    explicit modelled_instance(modelled_row& store) : m_store(store) {}

    [[nodiscard]] int process() const { return m_process; }
    [[nodiscard]] bool is_registered() const {
        return m_store.row() && m_store.row()->m_process == m_process;
    }

    void restart() {
        ++m_process;
        read();
    }
    void read() { m_known = m_store.row(); }

    /// Returns a change under way: the row is written when it is called.
    std::function<void()> write() {
        std::optional<registered_process> replaced;
        if (m_known) {
            replaced = registered_process{.m_incarnation = std::to_string(m_known->m_process),
                                          .m_registered_at =
                                              registration_of(m_known->m_stated, m_known->m_version)};
        }
        const store_version stated =
            registration_to_state(replaced, std::to_string(m_process), m_store.era());
        return [this, process = m_process, expected = m_known ? m_known->m_version : store_version{},
                stated] { m_store.change(expected, process, stated); };
    }

    std::function<void()> leave() {
        const bool is_own = m_known && m_known->m_process == m_process;
        return
            [this, is_own, process = m_process, expected = m_known ? m_known->m_version : store_version{}] {
                if (is_own) {
                    m_store.change(expected, process, std::nullopt);
                }
            };
    }

private:
    modelled_row& m_store;
    int m_process{1};
    std::optional<modelled_row::content> m_known;
};

/// What another instance believes of the key.
struct modelled_reader {
    std::optional<registered_process> m_newest;
    bool m_has_left{false};
    std::uint64_t m_era{1};

    void read(const modelled_row& store) {
        const bool is_listed = m_era == store.era();
        m_era = store.era();
        if (!store.row()) {
            // A row that the present era has not shown says nothing by its absence.
            m_has_left = m_has_left || (m_newest && is_listed && m_shown);
            m_shown = false;
            return;
        }
        const registered_process listed{.m_incarnation = std::to_string(store.row()->m_process),
                                        .m_registered_at =
                                            registration_of(store.row()->m_stated, store.row()->m_version)};
        const process_row kind = classify_row(m_newest, m_has_left, listed);
        m_shown = kind != process_row::ended_process;
        if (m_shown) {
            m_newest = listed;
            m_has_left = false;
        }
    }

    [[nodiscard]] int process() const { return m_newest ? std::stoi(m_newest->m_incarnation) : 0; }

private:
    bool m_shown{false};
};

}

BOOST_AUTO_TEST_CASE(a_row_without_a_number_registers_its_process) {
    BOOST_TEST((registration_of(version(1, 0), version(1, 40)) == version(1, 40)));
    BOOST_TEST((registration_of(version(1, 40), version(1, 60)) == version(1, 40)));
    // The row was written in era 1 and is read from the older copy.
    BOOST_TEST((registration_of(version(1, 0), version(2, 40)) == version(1, 40)));
    BOOST_TEST((registration_of(std::nullopt, version(1, 40)) == version(1, 40)));
}

BOOST_AUTO_TEST_CASE(a_process_registers_anew_over_another_one_and_in_each_era) {
    const registered_process own{.m_incarnation = "b", .m_registered_at = version(1, 40)};
    BOOST_TEST((registration_to_state(own, "b", 1) == version(1, 40)));
    BOOST_TEST((registration_to_state(own, "b", 2) == version(2, 0)));
    BOOST_TEST((registration_to_state(own, "c", 1) == version(1, 0)));
    BOOST_TEST((registration_to_state(std::nullopt, "c", 1) == version(1, 0)));
}

BOOST_AUTO_TEST_CASE(rows_are_classified_by_registration) {
    const registered_process known{.m_incarnation = "b", .m_registered_at = version(1, 40)};
    const auto classify = [&](const std::string& incarnation, const store_version& at, bool has_left) {
        return classify_row(known, has_left, {.m_incarnation = incarnation, .m_registered_at = at});
    };
    BOOST_TEST((classify("a", version(1, 30), false) == process_row::ended_process));
    BOOST_TEST((classify("b", version(1, 40), false) == process_row::same_process));
    BOOST_TEST((classify("b", version(2, 5), false) == process_row::same_process));
    BOOST_TEST((classify("c", version(1, 50), false) == process_row::next_process));
    BOOST_TEST((classify("c", version(2, 5), false) == process_row::next_process));
    BOOST_TEST((classify("b", version(1, 40), true) == process_row::ended_process));
    BOOST_TEST((classify("c", version(1, 50), true) == process_row::next_process));
    BOOST_TEST((classify_row(std::nullopt, false, known) == process_row::next_process));
}

/// The reader never goes back to an earlier process once it has seen a later one, and knows the living one
/// once that has written its row.
BOOST_AUTO_TEST_CASE(no_late_change_and_no_restore_brings_an_ended_process_back) {
    constexpr int runs = 20000;
    constexpr int steps = 40;
    for (int run = 0; run < runs; ++run) {
        std::mt19937 random(static_cast<std::uint32_t>(run));
        const auto below = [&](int limit) {
            return static_cast<int>(random() % static_cast<unsigned>(limit));
        };
        modelled_row store;
        modelled_instance instance(store);
        modelled_reader reader;
        std::vector<std::function<void()>> late;
        int newest = 0;
        bool has_failed = false;
        for (int step = 0; step < steps && !has_failed; ++step) {
            switch (below(9)) {
            case 0:
                instance.restart();
                break;
            case 1:
                instance.read();
                break;
            case 2:
            case 3:
                instance.write()();
                break;
            case 4:
                late.push_back(instance.write());
                break;
            case 5:
                late.push_back(instance.leave());
                instance.restart();
                break;
            case 6:
                if (!late.empty()) {
                    late[static_cast<std::size_t>(below(static_cast<int>(late.size())))]();
                }
                break;
            case 7:
                if (below(4) == 0) {
                    store.restore();
                    // What was under way in the era before is refused by the store's clients.
                    late.clear();
                    instance.read();
                } else {
                    store.back_up();
                }
                break;
            default:
                break;
            }
            const bool had_left = reader.m_has_left;
            reader.read(store);
            // After a process has left, a first row of an earlier one can be written late. Nobody is hidden
            // by it: the one that left holds no lease.
            has_failed = reader.process() < newest && !had_left;
            newest = had_left ? reader.process() : std::max(newest, reader.process());
        }
        for (const auto& each : late) {
            each();
        }
        instance.read();
        instance.write()();
        reader.read(store);
        has_failed = has_failed || reader.process() != instance.process() || !instance.is_registered();
        BOOST_TEST(!has_failed, "run " << run);
    }
}
