/// \file restore_steps.cpp
/// Plays a script of the fleet's transitions in virtual time and lets the store go back at each step to
/// each earlier step, alone and together with one more fault, once and twice. What must hold is checked
/// all along: acknowledged writes ran at the newest primary, an epoch has one meaning, a configuration
/// never goes back, and within the recovery time everybody serves again at a bounded number of calls.
#include "support/gateway_fleet.hpp"
#include "support/primary_check.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <set>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

/// A lease, its margin, a takeover and a switch with its promotion.
constexpr milliseconds recovery_time{16000};

/// Calls of one instance in a second, as the average over the recovery time.
constexpr int max_calls_per_second = 8;

enum class extra_fault {
    none,
    coordinator_killed,
    all_restarted,
    one_cut_off,    ///< One instance reaches neither the store nor others for some seconds.
    second_restore, ///< The store goes back once more, one step further.
    primary_crashed,
    history_dropped,
    answers_lost,
};

constexpr std::array faults{extra_fault::none,
                            extra_fault::coordinator_killed,
                            extra_fault::all_restarted,
                            extra_fault::one_cut_off,
                            extra_fault::second_restore,
                            extra_fault::primary_crashed,
                            extra_fault::history_dropped,
                            extra_fault::answers_lost};

/// A fleet that plays the script and checks the invariants as it goes.
class scripted_fleet {
public:
    static constexpr int step_count = 10;

    scripted_fleet() {
        m_fleet.follow_configuration();
        put_configuration(5);
        m_fleet.run_for(1000ms);
        back_up();
    }

    void play(int step) {
        switch (step) {
        case 0:
            put_configuration(7);
            run_for(300ms);
            break;
        case 1:
            m_fleet.m_upstreams.crash("orders-1");
            run_for(400ms);
            break;
        case 2:
            run_for(2200ms);
            break;
        case 3:
            start(4);
            run_for(600ms);
            break;
        case 4:
            m_check.recover_as_replica("orders-1");
            m_check.leave_primary();
            run_for(400ms);
            break;
        case 5:
            run_for(2200ms);
            break;
        case 6:
            kill_coordinator();
            run_for(2500ms);
            break;
        case 7:
            run_for(3500ms);
            break;
        case 8:
            put_configuration(9);
            restart_missing();
            run_for(800ms);
            break;
        default:
            leave(4);
            run_for(3200ms);
            break;
        }
        back_up();
    }

    /// The store is away for a second and comes back as it was after the step with this number; 0 is
    /// the start.
    void restore(int backup, extra_fault fault) {
        m_fleet.m_store.m_unreachable = true;
        run_for(1000ms);
        m_fleet.m_store.m_unreachable = false;
        m_fleet.m_store.restore(m_backups.at(static_cast<std::size_t>(backup)));
        apply(fault, backup);
        run_for(300ms);
        // Operators and upstreams write again what they had written.
        put_configuration(m_revision);
        m_fleet.publish_registry();
    }

    void check_recovery() {
        const int before = m_fleet.m_store.m_calls;
        const steady_time start = m_fleet.m_clock.now();
        for (int second = 0; m_fleet.m_clock.now() < start + recovery_time; ++second) {
            run_for(700ms);
            write(pick(second));
            if (second == 5) {
                m_fleet.m_store.m_refused_clients.clear();
                m_fleet.m_isolated.clear();
                m_fleet.m_store.m_loses_change_answers = false;
            }
        }
        const int seconds = static_cast<int>(recovery_time / 1000ms);
        BOOST_TEST(m_fleet.m_store.m_calls - before <=
                   max_calls_per_second * seconds * static_cast<int>(m_live.size()));
        put_configuration(m_revision + 2);
        run_for(3000ms);
        for (const int number : m_live) {
            BOOST_TEST_CONTEXT("instance " << number) {
                BOOST_TEST(write(number));
                BOOST_TEST(m_fleet.instance(number).revision() == m_revision);
                BOOST_TEST(dump(number)["instances"].get<int>() == static_cast<int>(m_live.size()));
            }
        }
        for (const std::string& violation : m_fleet.m_upstreams.m_violations) {
            BOOST_ERROR(violation);
        }
    }

private:
    void back_up() { m_backups.push_back(m_fleet.m_store.back_up()); }

    [[nodiscard]] nlohmann::json dump(int number) { return m_fleet.instance(number).state_dump(); }

    [[nodiscard]] int pick(int round) const {
        return *std::next(m_live.begin(), round % static_cast<int>(m_live.size()));
    }

    void put_configuration(std::uint64_t revision) {
        m_revision = revision;
        m_fleet.put_configuration(revision);
    }

    void run_for(milliseconds time) {
        for (milliseconds passed{0}; passed < time; passed += 100ms) {
            m_fleet.run_for(100ms);
            check_state();
        }
    }

    void check_state() {
        for (const int number : m_live) {
            const std::uint64_t revision = m_fleet.instance(number).revision();
            BOOST_TEST(revision >= m_revisions[number]);
            m_revisions[number] = revision;
            const nlohmann::json group = dump(number)["groups"]["orders"];
            const auto meaning =
                std::make_pair(group["primary"].get<std::string>(), group["switching"].get<bool>());
            const auto known = m_meanings.emplace(group["epoch"].get<std::uint64_t>(), meaning).first;
            BOOST_TEST((known->second == meaning), "epoch " << known->first << " has two meanings");
        }
    }

    bool write(int number) {
        const bool succeeded = m_check.write(number);
        check_state();
        return succeeded;
    }

    void start(int number) {
        m_fleet.start(number);
        m_live.insert(number);
        m_revisions[number] = 0;
    }

    void kill(int number) {
        m_fleet.kill(number);
        m_live.erase(number);
    }

    void leave(int number) {
        if (!m_live.contains(number)) {
            return;
        }
        m_fleet.instance(number).leave(2500ms, [] {});
        run_for(2600ms);
        kill(number);
    }

    void restart_missing() {
        for (const int number : {1, 2, 3}) {
            if (!m_live.contains(number)) {
                start(number);
            }
        }
    }

    void kill_coordinator() {
        if (const int number = m_fleet.coordinator(); number > 0) {
            kill(number);
        }
    }

    void apply(extra_fault fault, int backup) {
        switch (fault) {
        case extra_fault::none:
            break;
        case extra_fault::coordinator_killed: {
            const int active = m_fleet.coordinator();
            const int number = active > 0 ? active : *m_live.begin();
            kill(number);
            start(number);
            break;
        }
        case extra_fault::all_restarted:
            for (const int number : std::set<int>(m_live)) {
                kill(number);
                start(number);
            }
            break;
        case extra_fault::one_cut_off: {
            const std::string name = "i" + std::to_string(*m_live.rbegin());
            m_fleet.m_store.m_refused_clients = {name};
            m_fleet.m_isolated = {name};
            break;
        }
        case extra_fault::second_restore:
            run_for(500ms);
            m_fleet.m_store.restore(m_backups.at(static_cast<std::size_t>(std::max(0, backup - 1))));
            break;
        case extra_fault::primary_crashed: {
            const std::string primary = m_check.newest_primary();
            if (!primary.empty()) {
                m_fleet.m_upstreams.crash(primary);
            }
            break;
        }
        case extra_fault::history_dropped:
            m_fleet.m_store.forget_history();
            break;
        case extra_fault::answers_lost:
            m_fleet.m_store.m_loses_change_answers = true;
            break;
        }
    }

    test::gateway_fleet m_fleet{3};
    test::primary_check m_check{m_fleet};
    std::set<int> m_live{1, 2, 3};
    std::vector<std::shared_ptr<const test::fake_store::backup>> m_backups;
    std::uint64_t m_revision{0};
    std::map<int, std::uint64_t> m_revisions; ///< Newest seen at each instance since its start.
    /// Key: epoch. What the record of that epoch says.
    std::map<std::uint64_t, std::pair<std::string, bool>> m_meanings;
};

}

BOOST_AUTO_TEST_CASE(the_store_goes_back_from_each_step_to_each_earlier_one) {
    int runs = 0;
    for (int step = 0; step < scripted_fleet::step_count; ++step) {
        for (int backup = 0; backup <= step; ++backup) {
            for (std::size_t fault = 0; fault < faults.size(); ++fault) {
                BOOST_TEST_CONTEXT("after step " << step << " back to " << backup << ", fault " << fault) {
                    scripted_fleet fleet;
                    for (int played = 0; played <= step; ++played) {
                        fleet.play(played);
                    }
                    fleet.restore(backup, faults.at(fault));
                    fleet.check_recovery();
                    ++runs;
                }
            }
        }
    }
    std::cout << "restores played: " << runs << "\n";
}
