"""Tests of the start of a process."""
