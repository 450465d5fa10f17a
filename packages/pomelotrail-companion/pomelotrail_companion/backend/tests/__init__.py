"""Tests of backend."""
