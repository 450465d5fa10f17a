"""Gives the backend server no more requests than it has slots."""

from datetime import timedelta

from pomelotrail_companion.waiting import (
    OnTimeFirst,
    RequestQueue,
    WaitingRequest,
    WorkEstimate,
)
from pomelotrail_core.flows import Packet

from .flow_book import BookedFlow, FlowBook


class RequestGate:
    """Lets requests wait here instead of in the backend server's own queue.

    There they would run in order of arrival. Only the first data of a request
    may wait; whatever the caller sends while its request runs goes through.
    """

    def __init__(self, book: FlowBook) -> None:
        """Guard the slots of the server whose flows are in the book."""
        self._book = book
        self._estimate = WorkEstimate()
        self._queue = RequestQueue(OnTimeFirst(), self._estimate)
        self._slots: int | None = None

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._queue)

    def set_slots(self, slots: int) -> None:
        """Take the number of slots from the backend server's entry."""
        self._slots = max(1, slots)

    def passes(self, booked: BookedFlow, packet: Packet, now: timedelta) -> bool:
        """Tell whether a packet goes to the backend server now; else it waits."""
        waiting = self._queue.get(booked.flow)
        if packet.resets:
            self._queue.remove(booked.flow)
            return True
        if waiting is not None:
            if packet.size or packet.finishes:
                waiting.add(packet)
                return False
            return True
        if booked.asked is None or booked.started is not None or not packet.size:
            return True
        if self._has_free_slot():
            self._book.start(booked, now)
            return True
        terms = self._book.terms(booked.flow)
        request = WaitingRequest(booked.flow, now, terms.priority, terms.target)
        request.add(packet)
        self._queue.add(request)
        return False

    def note_answer(self, booked: BookedFlow, now: timedelta) -> timedelta | None:
        """Note that an answer began; return how long the work took."""
        duration = self._book.note_answer(booked, now)
        if duration is not None:
            self._estimate.note(duration)
        return duration

    def forget(self, flow: bytes) -> WaitingRequest | None:
        """Return the waiting request of a flow that has ended, if there is one."""
        return self._queue.remove(flow)

    def release(self, now: timedelta) -> list[WaitingRequest]:
        """Return the waiting requests for which there are slots now."""
        released = []
        while self._has_free_slot() and (request := self._queue.take(now)):
            booked = self._book.get(request.flow)
            if booked is None or booked.asked is None:
                continue
            self._book.start(booked, now)
            released.append(request)
        return released

    def _has_free_slot(self) -> bool:
        """Tell whether the backend server can start a request at once."""
        return self._slots is None or self._book.running < self._slots
