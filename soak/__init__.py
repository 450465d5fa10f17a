"""A randomized soak: the real roles as processes, and faults from outside them."""
