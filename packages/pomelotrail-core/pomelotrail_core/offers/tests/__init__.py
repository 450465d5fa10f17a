"""Tests of the messages between balancers and companions."""
