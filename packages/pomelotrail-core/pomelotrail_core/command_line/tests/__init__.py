"""Tests of the frame of the command lines."""
