"""Tests of the request queue."""
