"$bin/utilities/measure_overload/measure_overload" "$seed"
