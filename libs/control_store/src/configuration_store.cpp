/// \file configuration_store.cpp
#include "anvilmount/control_store/configuration_store.hpp"

#include "anvilmount/control_store/configuration_record.hpp"

#include <memory>

namespace anvilmount {
namespace {

using nlohmann::json;

/// Reads back what became of a change before giving up on it.
constexpr int most_read_backs = 5;

/// One change on its way; keeps itself alive through the callbacks.
class change_in_progress : public std::enable_shared_from_this<change_in_progress> {
public:
    change_in_progress(control_store_client& platform, configuration_change change,
                       control_store_client::handler<std::uint64_t> on_done)
        : m_platform(platform), m_change(std::move(change)), m_on_done(std::move(on_done)) {}

    void start() {
        m_platform.read_row(std::string(configuration_row_key), [self = shared_from_this()](auto got) {
            if (auto* broken = std::get_if<failure>(&got)) {
                self->m_on_done(std::move(*broken));
                return;
            }
            self->on_current(std::get<table_row>(got));
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
        m_platform.write_object(m_next.m_object, m_change.m_text, [self = shared_from_this()](auto got) {
            // An answer that was lost is no trouble: the name is this change's own, and the read below
            // checks it.
            self->check_object(std::holds_alternative<failure>(got));
        });
    }

    void check_object(bool answer_lost) {
        if (!answer_lost) {
            move_row();
            return;
        }
        m_platform.read_object(m_next.m_object, [self = shared_from_this()](auto got) {
            if (auto* broken = std::get_if<failure>(&got)) {
                self->m_on_done(std::move(*broken));
                return;
            }
            self->move_row();
        });
    }

    void move_row() {
        const json value{{"revision", m_next.m_revision},
                         {"object", m_next.m_object},
                         {"change_id", m_next.m_change_id}};
        m_platform.write_row(std::string(configuration_row_key),
                             {.m_version = m_next.m_row_version, .m_value = value},
                             [self = shared_from_this()](auto got) {
                                 if (std::holds_alternative<failure>(got)) {
                                     self->read_back();
                                     return;
                                 }
                                 self->m_on_done(self->m_next.m_revision);
                             });
    }

    /// The answer was lost or someone else was first: only the row can tell.
    void read_back() {
        m_platform.read_row(std::string(configuration_row_key), [self = shared_from_this()](auto got) {
            if (auto* broken = std::get_if<failure>(&got)) {
                if (++self->m_read_backs < most_read_backs) {
                    self->read_back();
                } else {
                    broken->m_message =
                        "what became of the change cannot be told now: " + broken->m_message +
                        "; look at 'anvilmountctl get' before applying it again";
                    self->m_on_done(std::move(*broken));
                }
                return;
            }
            const revision_row now = read_revision_row(std::get<table_row>(got)).value_or(revision_row{});
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
