"""Interface for handing over a new request to another companion."""

import abc

from .messages import Answer, Request


class RequestRelay(abc.ABC):
    """Runs requests at another companion of the same service.

    A leaving companion uses it for new requests on its old flows::

        if not draining.accepts_new_flows:
            return await relay.async_relay(request)
    """

    @abc.abstractmethod
    async def async_relay(self, request: Request) -> Answer:
        """Return the answer of another companion to a request of a known class.

        The request must have passed the dispatcher (class and deadline are
        set) and its body must not have been read. Reading an incomplete answer
        raises an error; if no companion can be reached, the answer is a refusal.
        """
