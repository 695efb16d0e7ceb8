/// \file table_copy.cpp
/// Applies snapshots and deltas, and remembers a bounded number of removals.
#include "anvilmount/gateway/table_copy.hpp"

#include <algorithm>
#include <set>

namespace anvilmount::gateway {
namespace {

/// More than the instances that leave a large fleet between two polls of one reader.
constexpr std::size_t max_remembered_removals = 256;

}

bool table_copy::apply(const store_answer& reply) {
    if (reply.m_version.m_era < m_version.m_era) {
        return false;
    }
    bool changed = false;
    if (reply.m_is_delta) {
        for (const store_row& row : reply.m_rows) {
            changed = apply_row(row) || changed;
        }
    } else {
        changed = apply_snapshot(reply);
    }
    m_version = std::max(m_version, reply.m_version);
    return changed;
}

bool table_copy::apply_row(const store_row& row) {
    const auto known = m_rows.find(row.m_key);
    if (known != m_rows.end() && known->second.m_version >= row.m_version) {
        return false;
    }
    if (row.m_removed) {
        return apply_removal(row.m_key, row.m_version);
    }
    m_rows[row.m_key] = row;
    m_removals.erase(row.m_key);
    m_newest_row_version = std::max(m_newest_row_version, row.m_version);
    return true;
}

bool table_copy::apply_removal(const std::string& key, const store_version& version) {
    const auto known = m_rows.find(key);
    m_last_removal_version = std::max(m_last_removal_version, version);
    m_removals[key] = {.m_key = key, .m_version = version, .m_removed = true};
    if (known != m_rows.end()) {
        m_removals[key].m_table = known->second.m_table;
    }
    if (m_removals.size() > max_remembered_removals) {
        const auto oldest =
            std::min_element(m_removals.begin(), m_removals.end(), [](const auto& left, const auto& right) {
                return left.second.m_version < right.second.m_version;
            });
        m_removals_known_after = std::max(m_removals_known_after, oldest->second.m_version);
        m_removals.erase(oldest);
    }
    return m_rows.erase(key) > 0;
}

bool table_copy::apply_snapshot(const store_answer& reply) {
    if (!m_version.is_set() || reply.m_version.m_era != m_version.m_era) {
        // What was removed before the first snapshot, or in an earlier era, is not known.
        m_removals.clear();
        m_removals_known_after = reply.m_version;
        m_last_removal_version = reply.m_version;
    }
    std::set<std::string> listed;
    for (const store_row& row : reply.m_rows) {
        listed.insert(row.m_key);
    }
    std::vector<std::string> removed;
    for (const auto& [key, row] : m_rows) {
        if (!listed.contains(key) && reply.m_version > row.m_version) {
            removed.push_back(key);
        }
    }
    bool changed = false;
    for (const std::string& key : removed) {
        changed = apply_removal(key, reply.m_version) || changed;
    }
    for (const store_row& row : reply.m_rows) {
        changed = apply_row(row) || changed;
    }
    return changed;
}

std::optional<std::vector<store_row>> table_copy::changes_since(const store_version& version) const {
    if (version.m_era != m_version.m_era || version < m_removals_known_after) {
        return std::nullopt;
    }
    std::vector<store_row> changes;
    for (const auto* rows : {&m_removals, &m_rows}) {
        for (const auto& [key, row] : *rows) {
            if (row.m_version > version) {
                changes.push_back(row);
            }
        }
    }
    return changes;
}

}
