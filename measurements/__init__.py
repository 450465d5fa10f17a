"""Measurements of the real code, each with a baseline in the same run."""
