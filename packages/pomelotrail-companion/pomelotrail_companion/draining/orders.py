"""Lets flows and admission follow the published orders."""

from collections.abc import Callable

from pomelotrail_companion.edge.caller_edge import CallerEdge

from .state import DrainingState, ServingState


def follow_orders(state: DrainingState, edge: CallerEdge) -> None:
    """Announce the leaving and close the flows of a zone that is out."""

    def follow(new_state: ServingState) -> None:
        """Do what a new state asks for."""
        if new_state is ServingState.ZONE_OUT:
            edge.close_all("the availability zone is out of service")
        elif new_state is ServingState.LEAVING:
            edge.announce_leaving()
        else:
            edge.resume()

    state.add_listener(follow)


def call_on_return(state: DrainingState, returned: Callable[[], None]) -> None:
    """Call a function each time the backend server is back in service.

    Whatever it did while it was out, it may have been replaced or restarted,
    so nothing that was learned before holds.
    """
    previous = state.state

    def notice(new_state: ServingState) -> None:
        """Compare with the state before."""
        nonlocal previous
        was_away = previous is not ServingState.SERVING
        previous = new_state
        if was_away and new_state is ServingState.SERVING:
            returned()

    state.add_listener(notice)
