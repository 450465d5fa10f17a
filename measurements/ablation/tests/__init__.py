"""Tests of the ablation."""
