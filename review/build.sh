#!/usr/bin/env bash
# build.sh: builds the stand-ins of the cases into review/build/. Needs only
# what the deploy file's build needs.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [1-9]/case.cpp; do
  number=${source%/case.cpp}
  g++ -std=c++20 -O1 -Wall -Wextra -I. "$source" -o "build/case-$number" -lboost_json -lpthread &
  jobs+=("$!")
done
for job in ${jobs[@]+"${jobs[@]}"}; do
  wait "$job"
done
