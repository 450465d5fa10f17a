"""Tests of the HTTP service."""
