/// \file promises.hpp
/// Writers that run while a fault comes, and the promises that must hold after.
#pragma once

#include "support/fleet.hpp"

#include <functional>

namespace test {

/// Runs six writers, half of them with request ids, through the first three
/// instances, calls `bring` while they are at it, and checks that no
/// acknowledged write was lost, none ran twice, and none that was refused as not
/// run has run. No bound on time: slow is no failure here.
void check_writes_during_fault(fleet& all, const std::function<void()>& inject_fault);

}
