#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review --target review-world -j6
