#!/usr/bin/env bash
# Runs the formatter and the linter; with --fix the formatter rewrites the files. Needs build/.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v /Generated/)
if [ "${1:-}" = "--fix" ]; then
  clang-format -i "${files[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$')
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p build 2>build/tidy.txt ||
  { cat build/tidy.txt; exit 1; }
