"""A fabric that sends every packet of a caller to a random balancer."""
