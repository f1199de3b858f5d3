# The real programs of one deployment under load, with faults in pairs.
exec "$bin/tests/together/measure_together" "$seed"
