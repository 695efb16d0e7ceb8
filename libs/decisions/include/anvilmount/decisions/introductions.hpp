/// \file introductions.hpp
/// Makes a lease known to the witnesses: the instances that may say, after the metadata store came back
/// from an older copy, who held a lease before.
///
/// A witness knows each instance that the members table lists. One that has obtained a lease since the
/// witness last read the table is known to the store only, which may forget it. Such an instance
/// introduces itself to each witness in a message. Both sides write before they read: an instance reads
/// the table again after its lease was stored there, and a witness after its own row says that it is one.
/// Whichever was stored later is thus known to the other, without either having to wait.
///
/// A witness needs no introduction once its process has ended, or its own lease is over: it then speaks
/// for nobody. Until all others have answered, the lease is provisional; see confirmation_lease.hpp.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/store_version.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvilmount {

/// A witness, as the members table lists it.
struct listed_witness {
    std::string m_incarnation{};
    endpoint m_address{};
};

/// What became of an introduction.
enum class introduction_result {
    known,     ///< The witness knows of the lease.
    ended,     ///< The process that was addressed has ended, or is no witness any more.
    unanswered ///< Or refused: to be sent again.
};

class introductions {
public:
    /// A lease was obtained by a confirmation of which the store says that it was given at `version`.
    void begin(const store_version& version);

    /// Takes in the witnesses listed by the members table of `version`. Ignored if the table was read
    /// before the confirmation.
    void adopt(const store_version& version, const std::vector<listed_witness>& listed);

    /// Returns the witnesses to which an introduction is to be sent now, and counts it as sent.
    [[nodiscard]] std::vector<listed_witness> take_due(steady_time now);

    void record_result(const std::string& incarnation, introduction_result result);

    /// Whether the members table has to be read (again) first.
    [[nodiscard]] bool needs_read() const { return m_needs_read; }
    /// Whether each witness knows of the lease or cannot speak for the fleet.
    [[nodiscard]] bool are_complete() const { return !m_needs_read && m_open.empty(); }
    /// Version of the confirmation that began the lease.
    [[nodiscard]] const store_version& since() const { return m_since; }

private:
    struct open_introduction {
        endpoint m_address{};
        steady_time m_send_at{};
    };

    store_version m_since;
    bool m_needs_read{false};
    std::map<std::string, open_introduction> m_open; ///< Not settled yet. Key: incarnation of the witness.
    std::set<std::string> m_settled;                 ///< Incarnations that know of the lease or have ended.
};

}
