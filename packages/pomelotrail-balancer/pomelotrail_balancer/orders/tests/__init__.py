"""Tests of following operators' orders."""
