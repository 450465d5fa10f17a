"""Tests of the request handlers."""
