"""The balancer program and the operators' command line."""
