#!/usr/bin/env bash
# report.sh FOLDER NAME... : runs measurements and writes FOLDER/report.html
# with a table and a plot for each.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 2 ]; then
  echo "usage: meta/report.sh FOLDER NAME..." >&2
  exit 2
fi
folder=$1
shift
mkdir -p "$folder"
files=()
for name in "$@"; do
  meta/measure.sh "$name" >"$folder/$name.txt"
  files+=("$folder/$name.txt")
done
build/release/utilities/pistachioload/pistachioload report --out "$folder" "${files[@]}"
(cd "$folder" && gnuplot report.gp)
echo "$folder/report.html"
