"""Queue of the requests at one companion."""

from collections.abc import Iterable
from datetime import timedelta

from .discipline import QueueDiscipline
from .waiting_request import WaitingRequest
from .work_estimate import WorkEstimate


class RequestQueue:
    """Queue of requests that wait for a free slot::

    queue.add(request)
    request = queue.pop_next(now)
    """

    def __init__(self, discipline: QueueDiscipline, estimate: WorkEstimate) -> None:
        """Order requests by a discipline, with an estimate of the processing time."""
        self._discipline = discipline
        self._estimate = estimate
        self._waiting: dict[bytes, WaitingRequest] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def order_by(self, discipline: QueueDiscipline) -> None:
        """Order the waiting requests by another discipline."""
        self._discipline = discipline

    def waiting(self) -> Iterable[WaitingRequest]:
        """Return the waiting requests."""
        return self._waiting.values()

    def get(self, flow: bytes) -> WaitingRequest | None:
        """Return the waiting request of a flow."""
        return self._waiting.get(flow)

    def add(self, request: WaitingRequest) -> None:
        """Add a request."""
        self._waiting[request.flow] = request

    def remove(self, flow: bytes) -> WaitingRequest | None:
        """Remove and return the request of a flow."""
        return self._waiting.pop(flow, None)

    def pop_next(self, now: timedelta) -> WaitingRequest | None:
        """Remove and return the request to run next."""
        if not self._waiting:
            return None
        chosen = self._discipline.choose(
            self._waiting.values(), now, self._estimate.value
        )
        del self._waiting[chosen.flow]
        return chosen
