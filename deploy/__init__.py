"""The build of the roles that run on the users' VMs."""
