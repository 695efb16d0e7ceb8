/// \file store_questions.cpp
/// Converts store questions and answers to and from the Protobuf messages of store.proto.
#include "anvilmount/gateway/store_questions.hpp"

#include "store.pb.h"

namespace anvilmount::gateway {
namespace {

void encode_row(const store_row& row, peer::store_row& out) {
    out.set_table(row.m_table);
    out.set_key(row.m_key);
    out.set_value(row.m_value);
    out.set_version(row.m_version.m_number);
    out.set_era(row.m_version.m_era);
    out.set_removed(row.m_removed);
}

store_row decode_row(const peer::store_row& row) {
    return {.m_table = row.table(),
            .m_key = row.key(),
            .m_value = row.value(),
            .m_version = {.m_era = row.era(), .m_number = row.version()},
            .m_removed = row.removed()};
}

template <class Rows>
std::vector<store_row> decode_rows(const Rows& rows) {
    std::vector<store_row> read;
    read.reserve(static_cast<std::size_t>(rows.size()));
    for (const peer::store_row& each : rows) {
        read.push_back(decode_row(each));
    }
    return read;
}

peer::store_reply::outcome outcome_of_status(store_status status) {
    switch (status) {
    case store_status::done:
        return peer::store_reply::DONE;
    case store_status::conflict:
        return peer::store_reply::CONFLICT;
    case store_status::unknown:
        return peer::store_reply::UNKNOWN;
    case store_status::history_gone:
        return peer::store_reply::HISTORY_GONE;
    case store_status::refused:
        break;
    }
    return peer::store_reply::REFUSED;
}

store_status status_of_outcome(peer::store_reply::outcome outcome) {
    switch (outcome) {
    case peer::store_reply::DONE:
        return store_status::done;
    case peer::store_reply::CONFLICT:
        return store_status::conflict;
    case peer::store_reply::HISTORY_GONE:
        return store_status::history_gone;
    case peer::store_reply::REFUSED:
        return store_status::refused;
    default:
        return store_status::unknown;
    }
}

}

std::string encode_question(const store_question& request) {
    peer::store_question out;
    if (const auto* read = std::get_if<read_question>(&request)) {
        out.mutable_read()->set_table(read->m_table);
        out.mutable_read()->set_after(read->m_after_version.m_number);
        out.mutable_read()->set_after_era(read->m_after_version.m_era);
    } else if (const auto* follow = std::get_if<follow_question>(&request)) {
        out.mutable_follow()->set_table(follow->m_table);
        out.mutable_follow()->set_after(follow->m_after_version.m_number);
        out.mutable_follow()->set_after_era(follow->m_after_version.m_era);
        out.mutable_follow()->set_wait_ms(static_cast<std::uint32_t>(follow->m_timeout.count()));
    } else if (const auto* introduction = std::get_if<member_introduction>(&request)) {
        out.mutable_introduce()->set_to_incarnation(introduction->m_to_incarnation);
        out.mutable_introduce()->set_member(introduction->m_member);
        out.mutable_introduce()->set_since(introduction->m_since.m_number);
        out.mutable_introduce()->set_since_era(introduction->m_since.m_era);
    } else {
        const auto& change = std::get<store_change>(request);
        peer::change_rows& rows = *out.mutable_change();
        for (const store_row& each : change.m_expected) {
            encode_row(each, *rows.add_expected());
        }
        for (const store_row& each : change.m_writes) {
            encode_row(each, *rows.add_writes());
        }
        for (const store_row& each : change.m_removals) {
            encode_row(each, *rows.add_removals());
        }
        rows.set_may_wait_ms(static_cast<std::uint32_t>(change.m_max_batch_delay.count()));
        if (change.m_renewal) {
            rows.mutable_renewal()->set_incarnation(change.m_renewal->m_incarnation);
            rows.mutable_renewal()->set_count(change.m_renewal->m_count);
        }
    }
    return out.SerializeAsString();
}

std::optional<store_question> decode_question(const std::string& bytes) {
    peer::store_question in;
    if (!in.ParseFromString(bytes)) {
        return std::nullopt;
    }
    if (in.has_read()) {
        return read_question{
            .m_table = in.read().table(),
            .m_after_version = {.m_era = in.read().after_era(), .m_number = in.read().after()}};
    }
    if (in.has_follow()) {
        return follow_question{
            .m_table = in.follow().table(),
            .m_after_version = {.m_era = in.follow().after_era(), .m_number = in.follow().after()},
            .m_timeout = milliseconds{in.follow().wait_ms()}};
    }
    if (in.has_introduce()) {
        return member_introduction{
            .m_to_incarnation = in.introduce().to_incarnation(),
            .m_member = in.introduce().member(),
            .m_since = {.m_era = in.introduce().since_era(), .m_number = in.introduce().since()}};
    }
    if (in.has_change()) {
        store_change change{.m_expected = decode_rows(in.change().expected()),
                            .m_writes = decode_rows(in.change().writes()),
                            .m_removals = decode_rows(in.change().removals()),
                            .m_max_batch_delay = milliseconds{in.change().may_wait_ms()}};
        if (in.change().has_renewal()) {
            change.m_renewal = lease_renewal{.m_incarnation = in.change().renewal().incarnation(),
                                             .m_count = in.change().renewal().count()};
        }
        return change;
    }
    return std::nullopt;
}

std::string encode_reply(const store_answer& reply) {
    peer::store_reply out;
    out.set_result(outcome_of_status(reply.m_status));
    for (const store_row& each : reply.m_rows) {
        encode_row(each, *out.add_rows());
    }
    out.set_version(reply.m_version.m_number);
    out.set_era(reply.m_version.m_era);
    out.set_age_ms(static_cast<std::uint32_t>(reply.m_age.count()));
    out.set_delta(reply.m_is_delta);
    out.set_renewed(reply.m_renewed);
    return out.SerializeAsString();
}

std::optional<store_answer> decode_reply(const std::string& bytes) {
    peer::store_reply in;
    if (!in.ParseFromString(bytes)) {
        return std::nullopt;
    }
    return store_answer{.m_status = status_of_outcome(in.result()),
                        .m_rows = decode_rows(in.rows()),
                        .m_version = {.m_era = in.era(), .m_number = in.version()},
                        .m_age = milliseconds{in.age_ms()},
                        .m_is_delta = in.delta(),
                        .m_renewed = in.renewed()};
}

}
