"""Tests of the admission by wait."""
