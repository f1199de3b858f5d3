"$bin/utilities/measure_choose/measure_choose" "$seed"
