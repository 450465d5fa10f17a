"""Tests of the command line framework."""
