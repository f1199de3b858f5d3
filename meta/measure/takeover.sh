# Three entry processes, one stopped and one killed amid streams and checkouts.
exec "$bin/tests/together/measure_takeover" "$seed"
