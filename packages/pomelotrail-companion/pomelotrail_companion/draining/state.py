"""Serving state of the companion: serving, leaving or out."""

import enum
from collections.abc import Callable

from pomelotrail_core.configuration import Configuration
from pomelotrail_core.timeline import EventKind, Recorder


class ServingState(enum.Enum):
    """Whether a companion accepts new flows and requests."""

    SERVING = "serving"
    LEAVING = "leaving"
    ZONE_OUT = "zone out"


StateListener = Callable[[ServingState], None]


class DrainingState:
    """Serving state by the published drain orders for one backend server."""

    def __init__(self, name: str, zone: str, recorder: Recorder) -> None:
        """Initialize the state of the backend server of that name."""
        self._name = name
        self._zone = zone
        self._recorder = recorder
        self._state = ServingState.SERVING
        self._is_stopping = False
        self._listeners: list[StateListener] = []

    @property
    def state(self) -> ServingState:
        """Return the current state."""
        return self._state

    @property
    def accepts_new_flows(self) -> bool:
        """Return whether the companion accepts new flows."""
        return self._state is ServingState.SERVING

    def add_listener(self, listener: StateListener) -> None:
        """Call ``listener`` with the current state and with each later one."""
        self._listeners.append(listener)
        listener(self._state)

    def stop(self) -> None:
        """Leave because the process is stopping."""
        self._is_stopping = True
        if self._state is not ServingState.ZONE_OUT:
            self._change(ServingState.LEAVING)

    def configure(self, configuration: Configuration) -> None:
        """Apply the drain orders of a new configuration version."""
        if self._zone in configuration.zones_out:
            self._change(ServingState.ZONE_OUT)
        elif self._is_stopping or not self._is_in_service(configuration):
            self._change(ServingState.LEAVING)
        else:
            self._change(ServingState.SERVING)

    def _is_in_service(self, configuration: Configuration) -> bool:
        """Return whether the backend server is listed and not out."""
        return any(
            server.name == self._name and not server.is_out
            for service in configuration.services
            for server in service.backend_servers
        )

    def _change(self, state: ServingState) -> None:
        """Change the state, record it and call the listeners."""
        if state is self._state:
            return
        self._state = state
        kinds = {
            ServingState.SERVING: EventKind.ZONE_BACK,
            ServingState.LEAVING: EventKind.DRAINING,
            ServingState.ZONE_OUT: EventKind.ZONE_OUT,
        }
        cause = self._recorder.latest(
            EventKind.CONFIGURATION_IN_FORCE, EventKind.PROCESS_STOPPING
        )
        self._recorder.record(kinds[state], cause=cause, detail=state.value)
        for listener in self._listeners:
            listener(state)
