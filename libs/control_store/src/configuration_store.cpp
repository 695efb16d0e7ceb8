/// \file configuration_store.cpp
/// Applies a change in three steps: read the row, write the snapshot, update the row.
#include "anvilmount/control_store/configuration_store.hpp"

#include "anvilmount/control_store/configuration_record.hpp"

#include <memory>

namespace anvilmount {
namespace {

using nlohmann::json;

/// Attempts to read the outcome of a change before it is reported as unknown.
constexpr int max_read_backs = 5;

/// A change in progress. Its pending callbacks keep it alive.
class change_in_progress : public std::enable_shared_from_this<change_in_progress> {
public:
    change_in_progress(control_store_client& platform, configuration_change change,
                       control_store_client::handler<std::uint64_t> on_done)
        : m_platform(platform), m_change(std::move(change)), m_on_done(std::move(on_done)) {}

    void start() {
        m_platform.read_row(std::string(configuration_row_key), [self = shared_from_this()](auto outcome) {
            if (auto* error = std::get_if<failure>(&outcome)) {
                self->m_on_done(std::move(*error));
                return;
            }
            self->on_current(std::get<table_row>(outcome));
        });
    }

private:
    void on_current(const table_row& row) {
        const revision_row current = read_revision_row(row).value_or(revision_row{});
        if (m_change.m_expected_revision && *m_change.m_expected_revision != current.m_revision) {
            m_on_done(conflict(current.m_revision));
            return;
        }
        m_next = {.m_revision = current.m_revision + 1,
                  .m_object = "configuration-" + std::to_string(current.m_revision + 1) + "-" +
                              m_change.m_change_id,
                  .m_change_id = m_change.m_change_id,
                  .m_row_version = row.m_version};
        m_platform.write_object(m_next.m_object, m_change.m_text,
                                [self = shared_from_this()](auto outcome) {
                                    // After a lost answer, check_object() reads the object. Its name is
                                    // unique to this change.
                                    self->check_object(std::holds_alternative<failure>(outcome));
                                });
    }

    void check_object(bool answer_lost) {
        if (!answer_lost) {
            update_row();
            return;
        }
        m_platform.read_object(m_next.m_object, [self = shared_from_this()](auto outcome) {
            if (auto* error = std::get_if<failure>(&outcome)) {
                self->m_on_done(std::move(*error));
                return;
            }
            self->update_row();
        });
    }

    void update_row() {
        const json value{{"revision", m_next.m_revision},
                         {"object", m_next.m_object},
                         {"change_id", m_next.m_change_id}};
        m_platform.write_row(std::string(configuration_row_key),
                             {.m_version = m_next.m_row_version, .m_value = value},
                             [self = shared_from_this()](auto outcome) {
                                 if (std::holds_alternative<failure>(outcome)) {
                                     self->read_back();
                                     return;
                                 }
                                 self->m_on_done(self->m_next.m_revision);
                             });
    }

    /// Reads the row after a failed update: the answer may have been lost, or another
    /// change may have been applied first.
    void read_back() {
        m_platform.read_row(std::string(configuration_row_key), [self = shared_from_this()](auto outcome) {
            if (auto* error = std::get_if<failure>(&outcome)) {
                if (++self->m_read_backs < max_read_backs) {
                    self->read_back();
                } else {
                    error->m_message = "what became of the change cannot be told now: " + error->m_message +
                                       "; look at 'anvilmountctl get' before applying it again";
                    self->m_on_done(std::move(*error));
                }
                return;
            }
            const revision_row now =
                read_revision_row(std::get<table_row>(outcome)).value_or(revision_row{});
            if (now.m_change_id == self->m_change.m_change_id) {
                self->m_on_done(now.m_revision);
            } else {
                self->m_on_done(self->conflict(now.m_revision));
            }
        });
    }

    [[nodiscard]] failure conflict(std::uint64_t revision) const {
        return {.m_code = result_code::configuration_conflict,
                .m_message = "another change came first: revision " + std::to_string(revision) +
                             " is in force; look at it and apply again"};
    }

    control_store_client& m_platform;
    configuration_change m_change;
    control_store_client::handler<std::uint64_t> m_on_done;
    revision_row m_next;
    int m_read_backs{0};
};

}

std::optional<revision_row> read_revision_row(const table_row& row) {
    if (row.m_version == 0 || !row.m_value.is_object()) {
        return std::nullopt;
    }
    const json& value = row.m_value;
    if (!value.contains("revision") || !value["revision"].is_number_unsigned() ||
        !value.contains("object") || !value["object"].is_string()) {
        return std::nullopt;
    }
    return revision_row{.m_revision = value["revision"].get<std::uint64_t>(),
                        .m_object = value["object"].get<std::string>(),
                        .m_change_id = value.value("change_id", std::string()),
                        .m_row_version = row.m_version};
}

void apply_configuration(control_store_client& platform, const configuration_change& change,
                         control_store_client::handler<std::uint64_t> on_done) {
    if (auto refused = failure_of([&]() -> result<void> {
            BOOST_LEAF_CHECK(parse_configuration(change.m_text));
            return {};
        })) {
        on_done(std::move(*refused));
        return;
    }
    std::make_shared<change_in_progress>(platform, change, std::move(on_done))->start();
}

}
