"""Tests of the commands of the companion."""
