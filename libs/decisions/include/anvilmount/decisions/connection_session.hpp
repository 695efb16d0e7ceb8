/// \file connection_session.hpp
/// The session values and prepared statements of a connection to an upstream that serves the statements
/// of many callers, as far as the upstream has acknowledged them.
///
/// A statement may be sent only when everything that its caller was told about its session holds on the
/// connection. A setup step that fails may have taken effect or not; one that was sent may fail. Until a
/// step is acknowledged, what it changes therefore counts as unknown, and nothing may depend on it: a
/// statement that is sent behind its setup runs also when the setup has failed.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvilmount {

/// One statement by which a connection is prepared for another caller's statement.
struct setup_step {
    enum class kind {
        reset,     ///< Clears all values and prepared statements.
        set_value, ///< Sets the value m_name to m_value.
        prepare    ///< Prepares the statement m_name.
    };
    kind m_kind{kind::reset};
    std::string m_name{};
    std::string m_value{};
};

/// What a statement needs of the connection that runs it.
struct session_needs {
    const std::map<std::string, std::string>* m_values{nullptr}; ///< All values; null: any will do.
    const std::string* m_prepared{nullptr};                      ///< Name of the statement; null: none.
};

/// How far a connection is from what a statement needs, in order of preference.
enum class setup_distance { none, additions, reset };

class connection_session {
public:
    [[nodiscard]] setup_distance distance_to(const session_needs& needs) const;

    /// Returns the steps, in order, after which the connection is as needed; none if it is already.
    [[nodiscard]] std::vector<setup_step> steps_to(const session_needs& needs) const;

    /// Call when a step is sent, and again when it is answered. Steps are answered in order.
    void record_sent(const setup_step& step);
    void record_answered(const setup_step& step, bool succeeded);

    /// The upstream does not know a statement that was prepared.
    void forget_prepared() { m_prepared.clear(); }

private:
    [[nodiscard]] bool has_other_values(const std::map<std::string, std::string>& wanted) const;

    std::map<std::string, std::string> m_values; ///< Acknowledged; disjoint from m_unknown.
    std::set<std::string> m_unknown;             ///< Names that may have any value, or none.
    std::set<std::string> m_prepared;            ///< Acknowledged.
};

}
