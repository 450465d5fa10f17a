"""Starts fleets of real processes for the demo, tests and measurements."""
