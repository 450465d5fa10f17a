"""The interface between the steps that a request passes."""

import abc

from .messages import Answer, Request


class RequestHandler(abc.ABC):
    """One step on the way of a request, which may hand it to the next."""

    @abc.abstractmethod
    async def async_handle(self, request: Request) -> Answer:
        """Answer a request; a refusal is an answer too."""
