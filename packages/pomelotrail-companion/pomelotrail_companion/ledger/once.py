"""Puts the parts of the ledger slice together."""

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
from .once_handler import OnceHandler
from .peers import PeerCompanions
from .resolver import TicketResolver
from .service_peers import ServicePeers


@attrs.frozen
class Once:
    """The parts of a companion that run requests at most once."""

    ledger: Ledger
    executions: Executions
    resolver: TicketResolver
    relay: CompanionRelay
    handler: OnceHandler

    @classmethod
    def build(
        cls,
        mint: TicketIssuer,
        sealer: TicketSealer,
        peers: PeerCompanions,
        service_peers: ServicePeers,
        is_leaving: Callable[[], bool],
        next_handler: RequestHandler,
        clock: Clock,
        recorder: Recorder,
        limits: LedgerLimits | None = None,
    ) -> Self:
        """Return the parts, where ``next_handler`` admits and runs requests."""
        ledger = Ledger(mint.now, limits)
        executions = Executions(ledger, next_handler, clock)
        resolver = TicketResolver(
            mint, sealer, ledger, peers, service_peers, clock, recorder
        )
        delegation = Delegation(ledger, resolver, peers, service_peers, recorder)
        relay = CompanionRelay(peers, service_peers, recorder)
        others = RetryStep(next_handler, relay, RetryBudget(), clock)
        handler = OnceHandler(
            mint,
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
