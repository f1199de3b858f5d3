#!/usr/bin/env bash
# measure.sh NAME [--seed N]: builds if needed, runs one measurement of
# meta/measure/ for at most 50 s, and prints lines `figure.key: value unit`.
# Exits non-zero only if it could not measure.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 1 ] || [ ! -f "meta/measure/$1.sh" ]; then
  echo "usage: meta/measure.sh NAME [--seed N]; NAME is one of:" $(cd meta/measure && ls *.sh | sed 's/\.sh$//') >&2
  exit 2
fi
name=$1
shift
seed=1
if [ "${1:-}" = --seed ]; then
  seed=$2
  case $seed in *[!0-9]* | "") echo "measure.sh: --seed takes a whole number" >&2; exit 2 ;; esac
fi
meta/build.sh release >&2
bin=$PWD/build/release
export bin seed
exec timeout 55 bash "meta/measure/$name.sh"
