"""The process of pomelotrail beside each backend server."""
