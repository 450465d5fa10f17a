"""Packages shared by the balancer and the companion."""
