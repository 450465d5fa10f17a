"""Tests of the goodput measurement."""
