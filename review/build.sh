#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target -j8 --target cornellift-fleet-stand-in
mkdir -p target/review
for source in review/*/case.cc; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -I review "$source" -o "target/review/case-$name" -pthread
done
