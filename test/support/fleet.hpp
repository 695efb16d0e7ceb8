/// \file fleet.hpp
/// End-to-end test fixture: runs the platform stand-in, database groups and entry
/// instances as processes on loopback ports. The processes are killed when the
/// fixture is destroyed.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace test {

/// A child process, killed in the destructor.
class child_process {
public:
    /// Standard output and error are appended to the file `output`, or discarded if it is empty. With an
    /// empty `output` and TEST_SHOW_LOGS set in the environment, they are inherited.
    child_process(const std::string& program, std::vector<std::string> arguments,
                  const std::string& output = {});
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;
    /// Stops the process with SIGSTOP, and returns once all its threads stand still.
    void suspend() const;
    void kill_now();

    /// Waits for the process to end. Returns its exit code, or 128 plus the number of the signal that
    /// ended it, or -1 if it still runs after 30 s.
    int wait();

    /// Returns the same value as wait() if the process has ended; nothing if it is running.
    std::optional<int> try_wait();

    [[nodiscard]] pid_t id() const { return m_id; }

private:
    pid_t m_id{-1};
};

/// Outcome of a program that has ended.
struct finished_program {
    int m_exit_code{-1};
    std::string m_output; ///< Standard output and error together.
};

/// Runs a program to its end. `environment`, if not empty, is a NAME=VALUE pair for it.
finished_program run_program(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& environment = {});

/// Returns the path of a program in the directory of this build.
std::string program(const std::string& name);

/// Size and settings of a fleet.
struct fleet_options {
    int m_instances{1};
    std::vector<std::string> m_groups{"orders"};
    int m_upstreams{3}; ///< Per group; the first starts as primary.
    int m_connections{20};
    int m_slots{3};
    std::vector<std::string> m_upstream_settings{};
    std::vector<std::string> m_instance_settings{};
    nlohmann::json m_rules = nlohmann::json::array();
    bool m_relays{false}; ///< Connects to each upstream through a fault relay, also from its peers.
};

/// A running fleet: one platform, `m_groups` with upstreams, and instances entry-0, entry-1...
class fleet {
public:
    /// Returns once all instances are ready; throws std::runtime_error otherwise.
    explicit fleet(fleet_options options = {});

    /// Address for callers of instance `number`, from 0.
    [[nodiscard]] std::string caller(int number = 0) const;
    [[nodiscard]] std::string peer(int number) const;
    [[nodiscard]] std::string operators(int number = 0) const;

    /// Address of upstream `number` of a group, from 0, bypassing its relay.
    [[nodiscard]] std::string upstream(int number, int group = 0) const;
    [[nodiscard]] std::string platform() const;

    [[nodiscard]] child_process& instance(int number) {
        return *m_instances[static_cast<std::size_t>(number)];
    }
    [[nodiscard]] child_process& upstream_process(int number, int group = 0);
    void restart_instance(int number);

    /// Runs a query, for example a call of standin_control, directly on an upstream. Returns the value, or
    /// "error: " and the message.
    std::string query_upstream(int number, const std::string& sql, int group = 0) const;

    /// Returns the row of group_state() of an upstream, by column name.
    [[nodiscard]] std::map<std::string, std::string> upstream_state(int number, int group = 0) const;

    /// Returns what `anvilmountctl dump` prints for an instance.
    [[nodiscard]] nlohmann::json dump(int number = 0) const;

    /// Returns the number of the instance that is the home of an upstream, or -1 if none is.
    [[nodiscard]] int home_of(const std::string& upstream) const;

    /// Sets faults of the platform, for example {"down":true}.
    void platform_fault(const std::string& json) const;

    /// Sets faults of the relay in front of an upstream of the first group.
    void relay_fault(int number, const std::string& json) const;

    /// Applies a configuration through an instance; returns the exit code of anvilmountctl.
    int apply(const std::string& text, int through = 0) const;
    [[nodiscard]] nlohmann::json configuration() const { return m_configuration; }

private:
    void start_upstreams();
    void start_relay(int upstream);
    [[nodiscard]] std::string public_address(int number, int group) const;
    void start_instance(int number);
    [[nodiscard]] std::string address(int offset) const;

    fleet_options m_options;
    int m_base_port;
    nlohmann::json m_configuration;
    std::unique_ptr<child_process> m_platform;
    std::vector<std::unique_ptr<child_process>> m_upstreams;
    std::vector<std::unique_ptr<child_process>> m_relays;
    std::vector<std::unique_ptr<child_process>> m_instances;
};

/// Polls `holds` until it returns true; returns false after `timeout`. The timeout is generous: it only
/// ends a failing test and is no performance bound.
bool eventually(const std::function<bool()>& holds,
                std::chrono::milliseconds timeout = std::chrono::seconds{20});

}
