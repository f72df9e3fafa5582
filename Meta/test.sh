#!/usr/bin/env bash
# Installs what is missing, builds, checks the style and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install-packages.sh
Meta/build.sh
Meta/check-style.sh
ctest --test-dir build --output-on-failure -j "$(nproc)"
