"""Tests of background tasks."""
