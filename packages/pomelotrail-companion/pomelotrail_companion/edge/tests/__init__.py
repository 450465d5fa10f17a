"""Tests of edge."""
