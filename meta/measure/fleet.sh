#!/usr/bin/env bash
# A day of prices, refusals, waves and demand for both deployments.
set -euo pipefail
"$bin/utilities/measure_fleet/measure_fleet" "$seed" samples/rebozo.ini samples/vltavice.ini
