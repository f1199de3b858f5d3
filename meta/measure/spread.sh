#!/usr/bin/env bash
# Spread of bundles and membership at 8, 140, 600 and 2,500 nodes, on cores.
exec "$bin/utilities/measure_spread/measure_spread" --seed "$seed"
