"""Which companions and servers a lookup asks."""

from datetime import timedelta

from pomelotrail_balancer.placement import CompanionView
from pomelotrail_core.directory import Directory

from .const import ROUNDS_BEFORE_WIDENING
from .flow_lookup import FlowLookup


class LookupPolicy:
    """Decides by what the directory and earlier lookups have shown.

    ``was_last_unowned`` is set while the lookup that ended last found no owner.
    """

    def __init__(self, directory: Directory) -> None:
        """Initialize before the first lookup has ended."""
        self._directory = directory
        self.was_last_unowned = False

    def has_probably_no_owner(
        self, likely_owners: list[CompanionView], now: timedelta
    ) -> bool:
        """Return whether all servers will have to be probed for a flow.

        Handles this load pattern: after a power loss no server has a flow, so a packet
        for the likely owners and another for the rest cost a small link twice as much.
        """
        return self.was_last_unowned and all(
            each.unsure_until > now for each in likely_owners
        )

    def is_undecided(
        self, lookup: FlowLookup, companion: CompanionView, now: timedelta
    ) -> bool:
        """Return whether a companion is known to be unsure and its server must wait.

        It would repeat what it has replied to other lookups.
        """
        return (
            companion.unsure_until > now
            and not self._directory.knows_former_services
            and not self.may_probe(lookup, companion)
        )

    def must_ask(
        self, lookup: FlowLookup, companion: CompanionView, now: timedelta
    ) -> bool:
        """Return whether to ask a companion before its server gets a packet.

        Handles this load pattern: all companions have lost their flows. Asking each of
        them costs a slow link more than the packet that the servers need anyway.
        Servers of other services get no packet; their companions are asked.
        """
        return companion.unsure_until <= now or not self.may_probe(lookup, companion)

    def may_probe(self, lookup: FlowLookup, companion: CompanionView) -> bool:
        """Return whether a companion's server may get the packet of a lookup.

        Unless the lookup was widened, servers of services that the route isn't known to
        have led to get no packet, so their companion remains unsure and the flow isn't
        reset.
        """
        if lookup.is_widened:
            return True
        address = lookup.first_packet.receiver
        return companion.server.service in self._directory.possible_services(address)

    def must_widen(self, lookup: FlowLookup, remaining: list[CompanionView]) -> bool:
        """Return whether a flow may be at a service that isn't known for its route.

        Handles this load pattern: a route is led to another service, and all processes
        are restarted before its open flows are used again. Only servers know the flows,
        and return the packets of those that they don't have.
        """
        if self._directory.knows_former_services:
            return False
        if lookup.full_rounds >= ROUNDS_BEFORE_WIDENING:
            return True
        return not any(self.may_probe(lookup, each) for each in remaining)
