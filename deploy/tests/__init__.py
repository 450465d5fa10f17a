"""Tests of the build."""
