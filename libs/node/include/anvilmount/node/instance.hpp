/// \file instance.hpp
/// An entry instance: the shards that serve callers and own homes, and the
/// connections to other instances, the platform and operators. A daemon creates
/// one from its settings, starts it, and drains it with leave() before it exits.
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
    std::size_t m_max_callers{20000};     ///< Caller connections over all shards.
    std::string m_server_version{"15.0"}; ///< Reported to callers.
    milliseconds m_platform_poll_interval{
        1000}; ///< Between polls of the configuration and the instance list.
    std::uint32_t m_seed{0};
};

class instance {
public:
    /// `loop` is the main thread's; requests of operators and to the platform run there.
    instance(reactor& loop, instance_options options);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// Starts the shards and listens. Errors: listen_failed (1603).
    [[nodiscard]] result<void> start();

    /// Drains the instance: accepts no new work, finishes work in progress,
    /// disconnects callers, and calls `done`, at the latest after `timeout`.
    void leave(milliseconds timeout, std::function<void()> done);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

}
