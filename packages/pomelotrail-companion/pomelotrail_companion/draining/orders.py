"""Listeners that apply published drain orders to flows and admission."""

from collections.abc import Callable

from pomelotrail_companion.edge.caller_edge import CallerEdge

from .state import DrainingState, ServingState


def apply_state_to_edge(state: DrainingState, edge: CallerEdge) -> None:
    """Announce that the server leaves; close all flows if its zone is out."""

    def apply_state(new_state: ServingState) -> None:
        """Apply a new state to the edge."""
        if new_state is ServingState.ZONE_OUT:
            edge.close_all("the availability zone is out of service")
        elif new_state is ServingState.LEAVING:
            edge.announce_leaving()
        else:
            edge.resume()

    state.add_listener(apply_state)


def call_when_back_in_service(
    state: DrainingState, callback: Callable[[], None]
) -> None:
    """Call a function each time the backend server is back in service.

    The server may have been replaced or restarted while it was out, so what was
    learned before is no longer valid.
    """
    previous = state.state

    def detect_return(new_state: ServingState) -> None:
        """Compare a new state with the previous one."""
        nonlocal previous
        was_not_serving = previous is not ServingState.SERVING
        previous = new_state
        if was_not_serving and new_state is ServingState.SERVING:
            callback()

    state.add_listener(detect_return)
