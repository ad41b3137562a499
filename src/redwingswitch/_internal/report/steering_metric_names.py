"""Names of the metrics of hosts that steer by cookies, as far as the report reads them."""

PACKETS = "redwingswitch_steering_packets_total"
ANSWERS = "redwingswitch_steering_answers_total"
