"$bin/utilities/measure_routing/measure_routing" "$seed"
