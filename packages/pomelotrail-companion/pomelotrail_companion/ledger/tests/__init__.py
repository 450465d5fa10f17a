"""Tests of the ledger."""
