#!/usr/bin/env bash
# Installs the compilers, libraries and linters from Debian packages if any of them is missing.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config git python3 clang-format clang-tidy
  libcpprest-dev libssl-dev libcapnp-dev capnproto prometheus-cpp-dev libyaml-cpp-dev libcli11-dev
  liblog4cxx-dev libgtest-dev libgmock-dev libbenchmark-dev libxxhash-dev librapidcheck-dev)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  echo "packages: all present"
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q --no-install-recommends "${packages[@]}"
