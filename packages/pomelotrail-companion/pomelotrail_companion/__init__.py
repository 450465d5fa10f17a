"""The companion of pomelotrail: the sidecar process of each backend server."""
