/// \file lease_witnesses.hpp
/// One instance's part in keeping every lease known to some instances, the witnesses, that can say who
/// held one after the metadata store came back from an older copy. introductions.hpp says how that works.
///
/// Each witness has a row in a table of its own, which is small: every instance that obtains a lease reads
/// it. An instance becomes a witness by storing its row and reading the members table afterwards. It
/// ceases to be one when its lease lapses, since others wait no longer than that for its answer.
#pragma once

#include "anvilmount/decisions/confirmation_lease.hpp"
#include "anvilmount/decisions/introductions.hpp"
#include "anvilmount/gateway/member_directory.hpp"
#include "anvilmount/gateway/ports.hpp"
#include "anvilmount/gateway/store_questions.hpp"
#include "anvilmount/observe/metrics.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmount::gateway {

/// What the witnesses' part needs of its instance; all must outlive it.
struct witness_ports {
    const clock_port* m_clock{nullptr};
    const store_port* m_store{nullptr};
    member_directory* m_directory{nullptr};
    confirmation_lease* m_lease{nullptr};
    metrics* m_metrics{nullptr};
    peer_request m_send_peer_request{};
    /// Returns this instance's row as stored, with its registration.
    std::function<member_record()> m_own_record{};
    /// Whether every lease that `peer` may hold is over.
    std::function<bool(const known_member& peer)> m_is_lease_over{};
    /// Reads the members table, if no read is in flight.
    std::function<void()> m_poll_members{};
};

/// Name, process and address of this instance.
struct witness_options {
    std::string m_name{};
    std::string m_incarnation{};
    endpoint m_address{}; ///< Where it takes introductions; port 0: nowhere, it is never a witness.
};

/// What this instance is for the others.
struct witness_duties {
    bool m_knows_fleet{false};    ///< Others that can relay its reads are known.
    bool m_is_witness{false};     ///< It should be a witness.
    bool m_is_coordinator{false}; ///< It removes the rows of witnesses that have ended.
};

class lease_witnesses {
public:
    lease_witnesses(witness_options options, witness_ports ports)
        : m_options(std::move(options)), m_ports(std::move(ports)) {}

    /// The lease was obtained anew, or in a new era while provisional, by a confirmation that the store
    /// gave at `version`.
    void on_lease_obtained(const store_version& version);

    /// The store came back from an older copy: rows known here mean nothing any more.
    void on_new_era(std::uint64_t era);

    /// Whether every lease of the present era that is not provisional is known here.
    [[nodiscard]] bool knows_all_leases() const;

    /// Answers another instance that has obtained a lease.
    [[nodiscard]] store_answer on_introduction(const member_introduction& introduction);

    /// Ceases to be a witness; every later introduction is answered as to an ended process.
    void leave();

    /// Introduces this instance, and stores or removes rows, as due. Call every few milliseconds.
    void tick(const witness_duties& duties);

    /// Version of the confirmation by which the lease was obtained.
    [[nodiscard]] const store_version& lease_since() const { return m_introductions.since(); }

private:
    void read_rows();
    void on_rows(const store_answer& reply);
    [[nodiscard]] std::vector<listed_witness> other_witnesses() const;
    /// Whether the witness of the row speaks for nobody any more, as the members table shows.
    [[nodiscard]] bool has_ended(const std::string& name, const store_row& row) const;
    void advance_introductions(bool may_read);
    void introduce(const listed_witness& witness);
    [[nodiscard]] store_row own_row() const;
    void store_own_row();
    /// `since`: of the lease that was held when the row was sent.
    void on_own_row_stored(const store_version& since, const store_answer& reply);
    void remove_own_row();
    void remove_ended_rows();

    witness_options m_options;
    witness_ports m_ports;
    introductions m_introductions;
    std::uint64_t m_era{0};
    /// The witnesses' rows as last read or written; unset until they have been read in this era.
    std::optional<std::map<std::string, store_row>> m_rows;
    /// Version of the row by which this instance became a witness; unset while it is none.
    std::optional<store_version> m_witness_since;
    steady_time m_read_sent_at{};
    bool m_read_in_flight{false};
    bool m_change_in_flight{false};
    steady_time m_next_change{};
    steady_time m_next_review{}; ///< Of the others' rows, by the coordinator.
    bool m_has_left{false};
};

}
