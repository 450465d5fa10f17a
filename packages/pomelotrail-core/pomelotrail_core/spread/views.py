"""Suspicion views that readers build and parents forward."""

from collections.abc import Callable
from datetime import timedelta
from typing import Final

import attrs

from pomelotrail_core.clock import Clock

from .const import PARENT_SLOTS, VIEW_EXPIRY
from .spread_pb2 import SuspicionView

_MILLISECOND: Final = timedelta(milliseconds=1)

ViewListener = Callable[[SuspicionView | None], None]


@attrs.define
class _ReceivedView:
    """A view and its creation time by the clock of this process."""

    view: SuspicionView
    created_at: timedelta


class ViewSelector:
    """Selects the view in use from the views of both parents.

    A reader's own view takes precedence. Old views expire.
    """

    def __init__(self, clock: Clock) -> None:
        """Initialize without views."""
        self._clock = clock
        self._own: Callable[[], SuspicionView | None] = lambda: None
        self._received: list[_ReceivedView | None] = [None] * PARENT_SLOTS
        self._listeners: list[ViewListener] = []
        self._notified: tuple[str, int] | None = None

    @property
    def current(self) -> SuspicionView | None:
        """Return the view in use, with its current age."""
        own = self._own()
        if own is not None:
            return own
        now = self._clock.monotonic()
        for received in self._received:
            if received is not None and now - received.created_at < VIEW_EXPIRY:
                age = max(now - received.created_at, timedelta())
                received.view.age_milliseconds = age // _MILLISECOND
                return received.view
        return None

    def set_own_view(self, own: Callable[[], SuspicionView | None]) -> None:
        """Set the function that returns the view of this process as a reader."""
        self._own = own

    def add_listener(self, listener: ViewListener) -> None:
        """Call ``listener`` when the view in use changes; None if there is none."""
        self._listeners.append(listener)

    def receive(self, slot: int, view: SuspicionView) -> None:
        """Store a view, or update the age of the previous view of the parent."""
        created_at = self._clock.monotonic() - view.age_milliseconds * _MILLISECOND
        received = self._received[slot]
        if view.reader:
            kept = SuspicionView()
            kept.CopyFrom(view)
            self._received[slot] = _ReceivedView(kept, created_at)
        elif received is not None:
            received.created_at = max(received.created_at, created_at)
        self.refresh()

    def drop_expired(self, slot: int) -> None:
        """Drop the view of a parent if it has expired."""
        received = self._received[slot]
        now = self._clock.monotonic()
        if received is not None and now - received.created_at >= VIEW_EXPIRY:
            self._received[slot] = None

    def refresh(self) -> None:
        """Notify the listeners if the view in use has changed."""
        view = self.current
        key = (view.reader, view.sequence) if view is not None else None
        if key == self._notified:
            return
        self._notified = key
        for listener in self._listeners:
            listener(view)
