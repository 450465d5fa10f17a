"""Requests, answers, refusals and the interface of their handlers."""

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
