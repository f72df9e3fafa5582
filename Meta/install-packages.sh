#!/usr/bin/env bash
# Installs the Debian packages required by the build and the checks, if any is missing.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config clang clang-format clang-tidy libclang-rt-14-dev curl
  libtbb-dev libgrpc++-dev libprotobuf-dev libboost-dev libboost-test-dev libcxxopts-dev liblog4cxx-dev
  libcpp-httplib-dev libabsl-dev rapidjson-dev nlohmann-json3-dev libvalijson-dev libxxhash-dev libssl-dev openssl gnuplot-nox)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
