"""The platform's configuration service: a version and a long poll."""
