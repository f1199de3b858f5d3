# Histories of the request core under faults, judged by an oracle.
"$bin/utilities/measure_request/measure_request_fuzz" "$seed"
