#!/usr/bin/env bash
# Installs the dependencies, builds, and runs a demo on loopback: three control and three entry instances with stand-in
# backend servers; a query; the same query after a lost replica; a booking sent three times; a graceful stop. The first
# run takes a few minutes. Use: Tools/demo.sh [FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cores=$(nproc)
Tools/install-packages.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "$((cores > 3 ? cores - 2 : cores))" --target corianderlock standin-backend
exec python3 Tools/demo.py "${1:-$(mktemp -d)}"
