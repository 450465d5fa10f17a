"""Fabric that sends every packet from a caller to a random balancer."""
