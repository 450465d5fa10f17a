"""Tests of harness."""
