#!/usr/bin/env bash
# Installs the packages that the build needs; does nothing when they are there.
set -euo pipefail
packages=(
  build-essential cmake ninja-build ccache clang-format clang-tidy curl gnuplot-nox
  libace-dev libcereal-dev prometheus-cpp-dev libcurl4-openssl-dev libmicrohttpd-dev
  libboost1.81-dev libboost-program-options1.81-dev libboost-json1.81-dev
  libspdlog-dev libcriterion-dev libinih-dev libsodium-dev libxxhash-dev libclang-rt-14-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
