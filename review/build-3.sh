#!/usr/bin/env bash
# Builds what the scripts of the third review start, after the build of the deploy file: the project's
# stand-ins, and the driver of each case, all into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j4 --target cornellift-fleet-stand-in cornellift-fault-proxy >/dev/null
mkdir -p target/review-3
for source in review/1[1-5]/*.cc; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-3/case-$number" "$source"
done
