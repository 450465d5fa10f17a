"""Errors that end a request between its steps."""


class AnswerBroken(Exception):
    """An answer that will not become whole; its caller must not take it as such."""


class BodyTooLarge(Exception):
    """A body that went over the limit of its class while it arrived."""


class RequestBroken(Exception):
    """A request whose body will not become whole, since its sender went away."""
