"$bin/utilities/measure_limits/measure_limits" "$seed"
