"""Errors that end a request between its handlers."""


class AnswerBroken(Exception):
    """The answer ended early; its caller must not treat it as complete."""


class BodyTooLarge(Exception):
    """The body exceeded the limit of its class while it was received."""


class RequestBroken(Exception):
    """The body of the request ended early, since its sender disconnected."""
