"""Tests of the modules that every slice uses."""
