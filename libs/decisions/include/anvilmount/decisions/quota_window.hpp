/// \file quota_window.hpp
/// How far the fleet may exceed the quota of a client account.
#pragma once

#include "anvilmount/base/time.hpp"

namespace anvilmount {

/// In each span of m_length, all instances together may run
/// (rate x m_length + burst) x (1 + m_overage) + m_slack operations of an account.
struct quota_window {
    milliseconds m_length{5000};
    double m_overage{0.1};
    double m_slack{20};
};

}
