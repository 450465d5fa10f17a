"""Interface of the handlers that process a request."""

import abc

from .messages import Answer, Request


class RequestHandler(abc.ABC):
    """Handler of requests, which can pass a request to the next handler."""

    @abc.abstractmethod
    async def async_handle(self, request: Request) -> Answer:
        """Answer a request; a refusal is an answer too."""
