"""Names of the steering hosts' metrics that the report reads."""

PACKETS = "redwingswitch_steering_packets_total"
ANSWERS = "redwingswitch_steering_answers_total"
