"""Tests of returns."""
