#!/usr/bin/env bash
# Runs clang-tidy on the sources. Skips files that passed before with the same content (cached in BUILD/lint).
# Use: Tools/lint.sh BUILD JOBS [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
jobs=$2
shift 2
mkdir -p "$build/lint"
headers=$(git ls-files -co --exclude-standard 'Source/*.h' 'platform/*.h' .clang-tidy | sort | xargs sha256sum | sha256sum | cut -c1-16)
files=("$@")
[ ${#files[@]} -gt 0 ] || mapfile -t files < <(git ls-files -co --exclude-standard 'Source/*.cpp' 'platform/*.cpp' | grep -v '\.capnp\.')
lintOne() {
  key=$(echo "$headers $(sha256sum "$1")" | sha256sum | cut -c1-32)
  [ -e "$build/lint/$key" ] && return 0
  if out=$(clang-tidy -p "$build" --quiet "$1" 2>&1); then
    touch "$build/lint/$key"
  else
    echo "$out" | grep -v 'warnings generated\|Suppressed\|Use -header-filter'
    return 1
  fi
}
export -f lintOne
export build headers
printf '%s\n' "${files[@]}" | xargs -r -P "$jobs" -I{} bash -c 'lintOne {}'
echo "lint: ${#files[@]} files clean"
