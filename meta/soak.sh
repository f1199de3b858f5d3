#!/usr/bin/env bash
# soak.sh [--seed N] [--seeds COUNT] [--seconds S | --minutes M] [--processes N] [--jobs N] [--restores] [--statements] [--endless] [--versions] [--rollouts] [--quiet]:
# builds if needed and plays random faults on real gateway processes, COUNT
# seeds from N on (default: one fresh seed). With --restores the store is also
# restored from older copies; with --statements endpoints also say in responses
# that they leave or want a pause; with --endless they also send bytes without
# end, to many callers; with --versions they have several software versions,
# and all nodes are killed at once; with --rollouts the operator also moves a
# service to other versions. With --quiet it injects no other faults. Settings and logs of failed seeds stay under
# build/soak/. With --regressions it plays the seeds of
# tests/soak/regressions.txt instead. Exits 1 when a promise was broken.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=$((RANDOM * 32768 + RANDOM))
count=1
seconds=30
processes=8
jobs=2
regressions=no
restores=
statements=
endless=
versions=
rollouts=
quiet=
usage() {
  sed -n '2,11s/^# //p' "$0" >&2
  exit 2
}
while [ $# -gt 0 ]; do
  if [ "$1" = --regressions ]; then
    regressions=yes
    shift
    continue
  fi
  if [ "$1" = --restores ]; then
    restores=--restores
    shift
    continue
  fi
  if [ "$1" = --endless ]; then
    endless=--endless
    shift
    continue
  fi
  if [ "$1" = --versions ]; then
    versions=--versions
    shift
    continue
  fi
  if [ "$1" = --rollouts ]; then
    rollouts=--rollouts
    shift
    continue
  fi
  if [ "$1" = --quiet ]; then
    quiet=--quiet
    shift
    continue
  fi
  if [ "$1" = --statements ]; then
    statements=--statements
    shift
    continue
  fi
  case ${2:-} in "" | *[!0-9]*) usage ;; esac
  case $1 in
    --seed) seed=$2 ;;
    --seeds) count=$2 ;;
    --seconds) seconds=$2 ;;
    --minutes) seconds=$((60 * $2)) ;;
    --processes) processes=$2 ;;
    --jobs) jobs=$2 ;;
    *) usage ;;
  esac
  shift 2
done
meta/build.sh "${PISTACHIOWALK_SOAK_PRESET:-release}" soak pistachiowalk-gateway >&2
soak=$PWD/build/${PISTACHIOWALK_SOAK_PRESET:-release}/tests/soak/soak
export soak

# play_one SEED SECONDS PROCESSES [OPTION...]
play_one() {
  local folder=build/soak/$1
  rm -rf "$folder"
  mkdir -p "$folder"
  if "$soak" --seed "$1" --seconds "$2" --processes "$3" "${@:4}" --folder "$folder" >"$folder/report.txt"; then
    tail -n 1 "$folder/report.txt"
    rm -rf "$folder"
    return 0
  fi
  grep -v '^fault' "$folder/report.txt"
  return 1
}
export -f play_one
if [ "$regressions" = yes ]; then
  grep -v '^#' tests/soak/regressions.txt | cut -d'|' -f1
else
  for i in $(seq 0 $((count - 1))); do echo "$((seed + i)) $seconds $processes${restores:+ $restores}${statements:+ $statements}${endless:+ $endless}${versions:+ $versions}${rollouts:+ $rollouts}${quiet:+ $quiet}"; done
fi | xargs -P "$jobs" -L 1 bash -c 'play_one "$@"' play_one
