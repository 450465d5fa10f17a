"""Types of arguments that several commands take."""

import argparse
from datetime import timedelta

import voluptuous as vol
from result import Err, Ok

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.settings.validators import duration


def argument_endpoint(text: str) -> Endpoint:
    """Read an endpoint given on the command line."""
    match Endpoint.parse(text):
        case Ok(endpoint):
            return endpoint
        case Err(error):
            raise argparse.ArgumentTypeError(str(error))


def argument_duration(text: str) -> timedelta:
    """Read a duration given on the command line, for example ``5min``."""
    try:
        return duration(text)
    except vol.Invalid as error:
        raise argparse.ArgumentTypeError(str(error)) from error
