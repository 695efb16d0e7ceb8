/// \file promises.hpp
/// Checks the guarantees about writes during a fault: a test calls it with the fault to
/// inject.
#pragma once

#include "support/fleet.hpp"

#include <functional>

namespace test {

/// Runs six writers, half of them with request ids, through the first three instances,
/// calls `inject_fault` while they write, and checks that no acknowledged write was
/// lost, no write ran twice, and no write that was refused as not run has run. The
/// duration is not checked.
void check_writes_during_fault(fleet& all, const std::function<void()>& inject_fault);

}
