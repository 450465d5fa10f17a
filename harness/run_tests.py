"""Runs the tests of all packages with nose2 and a fixed Hypothesis profile."""

import logging
import sys

import nose2
from hypothesis import HealthCheck, settings

PROFILE = "reproducible"


def main() -> None:
    """Run nose2 with derandomized property tests."""
    settings.register_profile(
        PROFILE,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    settings.load_profile(PROFILE)
    logging.disable(logging.CRITICAL)
    nose2.main(module=None, argv=["nose2", *sys.argv[1:]])


if __name__ == "__main__":
    main()
