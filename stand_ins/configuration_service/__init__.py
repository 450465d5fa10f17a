"""Configuration service of the platform: a version and a long poll."""
