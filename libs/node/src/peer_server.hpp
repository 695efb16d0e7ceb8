/// \file peer_server.hpp
/// Serves requests of other instances over HTTP/2:
///   /channel   each stream is a channel to one of this instance's homes
///   /cancel    a caller's cancel request for a session of this instance
///   /switch    an operator's request to the coordinator on this instance
///   /revision  returns the configuration revision in force
#pragma once

#include "cancel_registry.hpp"
#include "channel.hpp"
#include "group_knowledge.hpp"
#include "operator_service.hpp"

#include "anvilmount/wire/http2_server.hpp"

#include <memory>

namespace anvilmount {

class peer_server {
public:
    using switch_handler =
        std::function<void(const switch_request&, std::function<void(std::optional<failure>)>)>;

    peer_server(shard& owner, channel_opener& channels, cancel_registry& cancels,
                const group_knowledge& knowledge, switch_handler on_switch)
        : m_shard(owner), m_channel_opener(channels), m_cancel_registry(cancels), m_knowledge(knowledge),
          m_on_switch(std::move(on_switch)) {}

    /// Errors: listen_failed (1603).
    [[nodiscard]] result<void> listen(const endpoint& address);

    /// Accepts no new work from other instances. Open channels continue.
    void stop_accepting() { m_server->stop_accepting(); }

    /// Returns the number of connections from other instances. After
    /// stop_accepting(), the other instances close them once they have read everything.
    [[nodiscard]] std::size_t connection_count() const { return m_server->connection_count(); }

private:
    void serve(const std::shared_ptr<http2_stream>& stream);
    void serve_channel(const std::shared_ptr<http2_stream>& stream);

    shard& m_shard;
    channel_opener& m_channel_opener;
    cancel_registry& m_cancel_registry;
    const group_knowledge& m_knowledge;
    switch_handler m_on_switch;
    std::unique_ptr<http2_server> m_server;
};

}
