#!/usr/bin/env bash
# Runs seeded pairs of faults on real processes, and seeded simulations of the kernel's ownership rules.
# Usage: Meta/long-faults.sh COUNT FIRST_SEED
set -euo pipefail
cd "$(dirname "$0")/.."
count=${1:-20}
first=${2:-100}
CORNELLIFT_SEEDS=$count CORNELLIFT_FIRST_SEED=$first \
  build/Tests/Integration/TestFaultPairs --log_level=message
build/Tests/Kernel/TestOwnershipRules -- --seeds $((count * 1000)) --first "$first"
