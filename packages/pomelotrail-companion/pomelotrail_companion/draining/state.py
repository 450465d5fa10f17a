"""Whether this companion is serving, leaving or out."""

import enum
from collections.abc import Callable

from pomelotrail_core.configuration import Configuration
from pomelotrail_core.timeline import EventKind, Recorder


class ServingState(enum.Enum):
    """How much a companion still takes."""

    SERVING = "serving"
    LEAVING = "leaving"
    ZONE_OUT = "zone out"


StateListener = Callable[[ServingState], None]


class DrainingState:
    """Follows the published orders for one backend server."""

    def __init__(self, name: str, zone: str, recorder: Recorder) -> None:
        """Follow the orders for the backend server of that name."""
        self._name = name
        self._zone = zone
        self._recorder = recorder
        self._state = ServingState.SERVING
        self._is_stopping = False
        self._listeners: list[StateListener] = []

    @property
    def state(self) -> ServingState:
        """Return how much the companion takes."""
        return self._state

    @property
    def takes_new_flows(self) -> bool:
        """Tell whether new flows are welcome."""
        return self._state is ServingState.SERVING

    def add_listener(self, listener: StateListener) -> None:
        """Call ``listener`` with the state now and with each later one."""
        self._listeners.append(listener)
        listener(self._state)

    def stop(self) -> None:
        """Leave because the process was told to stop."""
        self._is_stopping = True
        if self._state is not ServingState.ZONE_OUT:
            self._change(ServingState.LEAVING)

    def configure(self, configuration: Configuration) -> None:
        """Take over the orders of a new version."""
        if self._zone in configuration.zones_out:
            self._change(ServingState.ZONE_OUT)
        elif self._is_stopping or not self._is_in_service(configuration):
            self._change(ServingState.LEAVING)
        else:
            self._change(ServingState.SERVING)

    def _is_in_service(self, configuration: Configuration) -> bool:
        """Tell whether the backend server is listed and not out."""
        return any(
            server.name == self._name and not server.is_out
            for service in configuration.services
            for server in service.backend_servers
        )

    def _change(self, state: ServingState) -> None:
        """Enter a state and record it."""
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
