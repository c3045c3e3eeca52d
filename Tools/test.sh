#!/usr/bin/env bash
# Checks the format, builds everything, lints, and runs all tests. Stops at the first step that fails.
# Environment: BUILD_DIR (default: build), JOBS (default: cores minus two), LINT=0 skips the linter.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cores=$(nproc)
jobs=${JOBS:-$((cores > 3 ? cores - 2 : cores))}

echo "== format"
Tools/format.sh --check
echo "== build"
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "$jobs"
if [ "${LINT:-1}" = 1 ]; then
  echo "== lint"
  Tools/lint.sh "$build" "$jobs"
fi
echo "== unit tests"
Tools/run-tests.py "$build" "$jobs"
