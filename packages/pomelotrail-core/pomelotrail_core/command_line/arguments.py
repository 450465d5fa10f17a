"""Argument types shared by several commands."""

import argparse
from datetime import timedelta

import voluptuous as vol
from result import Err, Ok

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.settings.validators import duration


def argument_endpoint(text: str) -> Endpoint:
    """Parse an endpoint argument."""
    match Endpoint.parse(text):
        case Ok(endpoint):
            return endpoint
        case Err(error):
            raise argparse.ArgumentTypeError(str(error))


def argument_duration(text: str) -> timedelta:
    """Parse a duration argument, for example ``5min``."""
    try:
        return duration(text)
    except vol.Invalid as error:
        raise argparse.ArgumentTypeError(str(error)) from error
