#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into build/review-2/. They are plain
# C++ programs without libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/{6,7,8,9,10}/*.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -pthread -o "build/review-2/$name" "$source"
done
