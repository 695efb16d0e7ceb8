/// \file fleet.hpp
/// Real processes for tests: a platform, database groups and entry instances
/// on loopback ports of their own. Ended with the object.
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

/// A child process, killed with the object.
class child_process {
public:
    /// `output` is the file that its standard output and error are added to; empty for none.
    child_process(const std::string& program, std::vector<std::string> arguments,
                  const std::string& output = {});
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;
    void kill_now();

    /// Waits for the end and returns the exit code; -1 after 30 s, 128 and the signal that ended it.
    int wait();

    /// Returns what wait() returns once the process has ended; nothing before.
    std::optional<int> try_wait();

    [[nodiscard]] pid_t id() const { return m_id; }

private:
    pid_t m_id{-1};
};

/// Runs a program to its end and returns its exit code and output.
struct program_result {
    int m_exit_code{-1};
    std::string m_output; ///< Standard output and error together.
};
program_result run_program(const std::string& program, const std::vector<std::string>& arguments,
                           const std::string& environment = {});

/// Returns the path of a program of this build.
std::string program(const std::string& name);

struct fleet_options {
    int m_instances{1};
    std::vector<std::string> m_groups{"orders"};
    int m_upstreams{3}; ///< Per group; the first starts as primary.
    int m_connections{20};
    int m_slots{3};
    std::vector<std::string> m_upstream_settings{};
    std::vector<std::string> m_instance_settings{};
    nlohmann::json m_rules = nlohmann::json::array();
    bool m_relays{false}; ///< A fault relay stands in front of each upstream, also towards its peers.
};

class fleet {
public:
    explicit fleet(fleet_options options = {});

    /// Address for callers of instance `number`, from 0.
    [[nodiscard]] std::string caller(int number = 0) const;
    [[nodiscard]] std::string peer(int number) const;
    [[nodiscard]] std::string operators(int number = 0) const;

    /// Address of upstream `number` of a group, from 0, without any relay.
    [[nodiscard]] std::string upstream(int number, int group = 0) const;
    [[nodiscard]] std::string platform() const;

    [[nodiscard]] child_process& instance(int number) {
        return *m_instances[static_cast<std::size_t>(number)];
    }
    [[nodiscard]] child_process& upstream_process(int number, int group = 0);
    void restart_instance(int number);

    /// Runs a function at an upstream itself, for example standin_control.
    std::string query_upstream(int number, const std::string& sql, int group = 0) const;

    /// Returns the state of an upstream as it tells it, by column name.
    [[nodiscard]] std::map<std::string, std::string> upstream_state(int number, int group = 0) const;

    [[nodiscard]] nlohmann::json dump(int number = 0) const;

    /// Number of the instance that is home of an upstream.
    [[nodiscard]] int home_of(const std::string& upstream) const;

    /// Sets a fault of the platform, for example {"down":true}.
    void platform_fault(const std::string& json) const;

    /// Sets a fault of the relay in front of an upstream of the first group.
    void relay_fault(int number, const std::string& json) const;

    /// Puts a text in force; returns anvilmountctl's exit code.
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

/// Waits until `holds` returns true; returns false when it never did. The limit
/// is generous: it ends a broken test and says nothing of speed.
bool eventually(const std::function<bool()>& holds,
                std::chrono::milliseconds timeout = std::chrono::seconds{20});

}
