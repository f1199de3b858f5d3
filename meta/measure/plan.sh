#!/usr/bin/env bash
# Time and memory of planning one service at 30, 1,000 and 10,000 workers.
set -euo pipefail
"$bin/utilities/measure_plan/measure_plan" "$seed"
