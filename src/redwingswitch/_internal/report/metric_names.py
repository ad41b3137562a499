"""Names of the entry hosts' metrics that the report reads."""

FLOWS_OPENED = "redwingswitch_flows_opened_total"
BROKEN_FLOWS = "redwingswitch_broken_flows_total"
REQUESTS = "redwingswitch_requests_total"
REQUEST_LATENCY_BUCKET = "redwingswitch_request_latency_ms_bucket"
BUSY_SLOTS = "redwingswitch_busy_slots"
