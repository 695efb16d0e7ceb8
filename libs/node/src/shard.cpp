/// \file shard.cpp
/// Runs a Qt event loop with a reactor on the shard's thread.
#include "shard.hpp"

#include <QEventLoop>

namespace anvilmount {

shard::shard(std::size_t index, std::uint32_t seed) : m_index(index), m_random(seed) {
    std::promise<void> started;
    auto ready = started.get_future();
    m_thread = std::thread([this, &started] { run(started); });
    ready.get();
}

shard::~shard() {
    post([this] { m_event_loop->quit(); });
    m_thread.join();
}

void shard::run(std::promise<void>& started) {
    QEventLoop loop;
    reactor events;
    m_event_loop = &loop;
    m_reactor = &events;
    started.set_value();
    loop.exec();
}

}
