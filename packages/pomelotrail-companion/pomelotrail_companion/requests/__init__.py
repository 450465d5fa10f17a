"""Requests, answers and refusals, and who handles them."""

from .dispatcher import Dispatcher
from .errors import AnswerBroken, BodyTooLarge, RequestBroken
from .handler import RequestHandler
from .messages import Answer, Header, Request
from .refusals import Outcome, Refusal, refuse
from .relay import RequestRelay

__all__ = [
    "Answer",
    "AnswerBroken",
    "BodyTooLarge",
    "Dispatcher",
    "Header",
    "Outcome",
    "Refusal",
    "Request",
    "RequestHandler",
    "RequestBroken",
    "RequestRelay",
    "refuse",
]
