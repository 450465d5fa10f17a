"""Tests of ledger."""
