"""Lets the flows follow the published orders."""

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
