"""Tests for membership."""
