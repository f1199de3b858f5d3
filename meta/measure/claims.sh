# What grouped claims cost the platform's store and the caller.
"$bin/utilities/measure_request/measure_claims" "$seed"
