/// \file identifiers.hpp
/// Strongly typed names for database groups, upstreams, instances and data
/// centres. Each kind of name has its own type, so that the compiler rejects
/// a name of one kind where another is expected.
#pragma once

#include <compare>
#include <functional>
#include <string>

namespace anvilmount {

/// A name whose kind is given by `Tag`; `Tag` itself is never defined.
template <class Tag>
struct identifier {
    std::string m_text;

    [[nodiscard]] bool empty() const { return m_text.empty(); }
    auto operator<=>(const identifier&) const = default;
};

using group_name = identifier<struct group_tag>;
using upstream_id = identifier<struct upstream_tag>;
using instance_id = identifier<struct instance_tag>;
using data_centre = identifier<struct data_centre_tag>;

}

template <class Tag>
struct std::hash<anvilmount::identifier<Tag>> {
    std::size_t operator()(const anvilmount::identifier<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.m_text);
    }
};
