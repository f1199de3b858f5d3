#!/usr/bin/env bash
# Stateful fuzzing of leases and orders against an oracle.
set -euo pipefail
"$bin/utilities/measure_orders/measure_orders" "$seed" 1000
