#!/usr/bin/env bash
# Formats the sources in place. With --check, reports the files that differ and changes nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard 'Source/*.h' 'Source/*.cpp' 'platform/*.h' 'platform/*.cpp' | grep -v '\.capnp\.' | xargs -r clang-format "${mode[@]}"
