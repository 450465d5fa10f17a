"""Stand-ins for the systems around pomelotrail, for tests and the demo."""
