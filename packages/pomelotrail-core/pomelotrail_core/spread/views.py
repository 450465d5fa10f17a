"""The views of suspicion that readers have counted and parents hand on."""

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
class _HeardView:
    """A view and when the reader made it, by this process's clock."""

    view: SuspicionView
    made_at: timedelta


class ViewHolder:
    """Chooses between the views of both parents; an old one expires.

    A reader has its own view, which goes first.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without any view."""
        self._clock = clock
        self._own: Callable[[], SuspicionView | None] = lambda: None
        self._heard: list[_HeardView | None] = [None] * PARENT_SLOTS
        self._listeners: list[ViewListener] = []
        self._told: tuple[str, int] | None = None

    @property
    def current(self) -> SuspicionView | None:
        """Return the view to act on and to hand on, with its age."""
        own = self._own()
        if own is not None:
            return own
        now = self._clock.monotonic()
        for heard in self._heard:
            if heard is not None and now - heard.made_at < VIEW_EXPIRY:
                age = max(now - heard.made_at, timedelta())
                heard.view.age_milliseconds = age // _MILLISECOND
                return heard.view
        return None

    def set_own(self, own: Callable[[], SuspicionView | None]) -> None:
        """Ask this function for the view of this process as a reader."""
        self._own = own

    def add_listener(self, listener: ViewListener) -> None:
        """Call ``listener`` when another view counts; None when none does."""
        self._listeners.append(listener)

    def hear(self, slot: int, view: SuspicionView) -> None:
        """Take a view, or the new age of the one that the parent sent before."""
        made_at = self._clock.monotonic() - view.age_milliseconds * _MILLISECOND
        heard = self._heard[slot]
        if view.reader:
            kept = SuspicionView()
            kept.CopyFrom(view)
            self._heard[slot] = _HeardView(kept, made_at)
        elif heard is not None:
            heard.made_at = max(heard.made_at, made_at)
        self.refresh()

    def forget(self, slot: int) -> None:
        """Drop the view of a parent that is lost once it has expired."""
        heard = self._heard[slot]
        now = self._clock.monotonic()
        if heard is not None and now - heard.made_at >= VIEW_EXPIRY:
            self._heard[slot] = None

    def refresh(self) -> None:
        """Tell the listeners if another view counts now."""
        view = self.current
        key = (view.reader, view.sequence) if view is not None else None
        if key == self._told:
            return
        self._told = key
        for listener in self._listeners:
            listener(view)
