"""A randomized soak: real processes of the steering program, and faults from outside them."""
