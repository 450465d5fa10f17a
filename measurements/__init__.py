"""Measurements of real slices, each beside a baseline in the same run."""
