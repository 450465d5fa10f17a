"""Runs requests that must run once at most once."""
