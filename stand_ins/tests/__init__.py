"""Tests of stand ins."""
