#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-3"
for source in "$root"/review/standin-3/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "$root/target/review-3/${name//_/-}"
done
