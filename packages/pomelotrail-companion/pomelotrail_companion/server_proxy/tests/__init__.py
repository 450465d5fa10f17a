"""Tests of the server proxy."""
