"""Errors for routing."""

import enum


class TokenError(enum.Enum):
    """Reasons why a connection ID is not a token of this fleet."""

    LENGTH = "the connection ID has another length than a token"
    GENERATION = "no key of that generation; check the token keys in the settings"
    CHECK = "the check bits do not match; the token is forged or its key is unknown"


class EncapsulationError(enum.Enum):
    """Reasons why a datagram is not a packet of this fleet."""

    TRUNCATED = "the datagram is too short"
    FORMAT = "the datagram has an unknown format; check that all run one release"
    MAC = "the keyed MAC does not match; check the fleet key in the settings"
