/// \file instance.hpp
/// One entry instance: shards with their callers and homes, the way to other
/// instances, to the platform and to operators. A daemon makes one from its
/// settings, lets it run, and asks it to leave.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/time.hpp"
#include "anvilmount/wire/reactor.hpp"

#include <functional>
#include <memory>
#include <string>

namespace anvilmount {

struct instance_options {
    instance_id m_id;
    data_centre m_data_centre;
    endpoint m_caller_address;
    endpoint m_peer_address;
    endpoint m_operator_address;
    endpoint m_platform_address;
    std::size_t m_shards{2};
    std::size_t m_max_callers{20000};
    std::string m_server_version{"15.0"}; ///< Told to callers.
    milliseconds m_platform_poll_interval{
        1000}; ///< Between two looks at the configuration and the instance list.
    std::uint32_t m_seed{0};
};

class instance {
public:
    /// `loop` is the main thread's; operators and the platform are served there.
    instance(reactor& loop, instance_options options);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// Starts to listen. Errors: listen_failed (1603).
    [[nodiscard]] result<void> start();

    /// Leaves in order: takes no new work, finishes what is in progress, lets
    /// callers go, and calls `done`, at the latest after `limit`.
    void leave(milliseconds limit, std::function<void()> done);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

}
