"""Stand-in for the platform's delayed list of live and leaving VMs."""
