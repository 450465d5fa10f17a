"""Tests of the configuration check."""
