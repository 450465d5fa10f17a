"""Proofs that a request has not run and can't run by what was sent so far.

A refusal reports "not run" to a caller only with such a proof. There are four
grounds, each checked by a function of this module.
"""

import abc
import enum
from typing import Final

_CONSTRUCTION_KEY: Final = object()


class ProofGrounds(enum.Enum):
    """Why a request can't have run."""

    NOT_SENT = "no byte went to a backend server"
    SHED = "every attempt was shed, by the documented answer"
    FENCED = "its ticket can never run"
    EXECUTOR = "the companion that alone may run it says so"


class NotRunProof:
    """Proof that a request did not run; created only in this module."""

    def __init__(self, grounds: ProofGrounds, key: object) -> None:
        """Initialize; raise ``TypeError`` when called from another module."""
        if key is not _CONSTRUCTION_KEY:
            raise TypeError("use one of the prove_ functions, which check the grounds")
        self._grounds = grounds

    @property
    def grounds(self) -> ProofGrounds:
        """Return why the request can't have run."""
        return self._grounds


class Fenceable(abc.ABC):
    """Something that can be fenced, so that it can never run."""

    @property
    @abc.abstractmethod
    def is_fenced(self) -> bool:
        """Return whether it can never run."""


class BackendContact:
    """Progress of the attempts to run one request.

    It is shared by all copies of a request. Code that sends the first byte of a
    request to a backend server, or hands it over to another companion, must call
    ``begin`` beforehand, and ``record_not_run`` if the attempt provably did not run.
    """

    def __init__(self) -> None:
        """Initialize without an attempt."""
        self._attempts = 0
        self._not_run = 0

    @property
    def has_begun(self) -> bool:
        """Return whether any attempt has begun."""
        return self._attempts > 0

    def begin(self) -> None:
        """Record that an attempt begins with the next byte sent."""
        self._attempts += 1

    def record_not_run(self) -> None:
        """Record that the latest attempt was shed, or refused by its executor."""
        self._not_run += 1


def prove_by_contact(contact: BackendContact) -> NotRunProof | None:
    """Return a proof if no attempt has begun or none has run, else None."""
    if not contact.has_begun:
        return NotRunProof(ProofGrounds.NOT_SENT, _CONSTRUCTION_KEY)
    if contact._attempts == contact._not_run:
        return NotRunProof(ProofGrounds.SHED, _CONSTRUCTION_KEY)
    return None


def prove_fenced(fenceable: Fenceable) -> NotRunProof | None:
    """Return a proof if the ticket is fenced, else None."""
    if not fenceable.is_fenced:
        return None
    return NotRunProof(ProofGrounds.FENCED, _CONSTRUCTION_KEY)


def prove_by_executor(is_not_run: bool) -> NotRunProof | None:
    """Return a proof if the executor reported that the request has not run.

    Call it only for an answer of the executor that the ticket names.
    """
    if not is_not_run:
        return None
    return NotRunProof(ProofGrounds.EXECUTOR, _CONSTRUCTION_KEY)
