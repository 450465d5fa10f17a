"""Builds the components that run requests at most once."""

from collections.abc import Callable
from typing import Self

import attrs

from pomelotrail_companion.draining.leaving import LeavingStep
from pomelotrail_companion.requests import RequestHandler
from pomelotrail_companion.requests.retry import RetryBudget, RetryStep
from pomelotrail_core.clock import Clock
from pomelotrail_core.tickets import TicketIssuer, TicketSealer
from pomelotrail_core.timeline import Recorder

from .delegation import CompanionRelay, Delegation
from .executions import Executions
from .ledger import Ledger, LedgerLimits
from .peers import PeerCompanions
from .resolver import TicketResolver
from .run_once_handler import RunOnceHandler
from .service_peers import ServicePeers


@attrs.frozen
class RunOnceComponents:
    """Components of a companion that run requests at most once."""

    ledger: Ledger
    executions: Executions
    resolver: TicketResolver
    relay: CompanionRelay
    handler: RunOnceHandler

    @classmethod
    def build(
        cls,
        issuer: TicketIssuer,
        sealer: TicketSealer,
        peers: PeerCompanions,
        service_peers: ServicePeers,
        is_leaving: Callable[[], bool],
        next_handler: RequestHandler,
        clock: Clock,
        recorder: Recorder,
        limits: LedgerLimits | None = None,
    ) -> Self:
        """Build the components; ``next_handler`` admits and runs requests."""
        ledger = Ledger(issuer.now, limits)
        executions = Executions(ledger, next_handler, clock)
        resolver = TicketResolver(
            issuer, sealer, ledger, peers, service_peers, clock, recorder
        )
        delegation = Delegation(ledger, resolver, peers, service_peers, recorder)
        relay = CompanionRelay(peers, service_peers, recorder)
        others = RetryStep(next_handler, relay, RetryBudget(), clock)
        handler = RunOnceHandler(
            issuer,
            sealer,
            ledger,
            executions,
            resolver,
            delegation,
            is_leaving,
            LeavingStep(is_leaving, relay, recorder, others),
            clock,
        )
        return cls(ledger, executions, resolver, relay, handler)
