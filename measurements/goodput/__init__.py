"""Goodput as load rises beyond capacity, from reports of the users' bench."""
