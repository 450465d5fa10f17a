"""Fleets of real and simulated processes for the demo, tests and measurements."""
