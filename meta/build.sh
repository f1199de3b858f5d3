#!/usr/bin/env bash
# build.sh PRESET [TARGET...]: installs what is missing, configures and builds.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
shift || true
meta/setup.sh
. meta/environment.sh
[ -f "build/$preset/build.ninja" ] || cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" ${@:+--target "$@"} -- --quiet
