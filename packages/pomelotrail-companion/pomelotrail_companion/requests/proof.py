"""Proofs that a request has not run and never will by what was sent so far.

A refusal says "not run" to a caller only with such a proof at hand. There are
four grounds, each with one function here that checks it.
"""

import abc
import enum
from typing import Final

_MAKER: Final = object()


class ProofGrounds(enum.Enum):
    """Why a request can't have run."""

    NOT_SENT = "no byte went to a backend server"
    SHED = "every attempt was shed, by the documented answer"
    FENCED = "its ticket can never run"
    EXECUTOR = "the companion that alone may run it says so"


class NotRunProof:
    """A proof; only the functions of this module make one."""

    def __init__(self, grounds: ProofGrounds, maker: object) -> None:
        """Refuse to be made elsewhere."""
        if maker is not _MAKER:
            raise TypeError("use one of the prove_ functions, which check the grounds")
        self._grounds = grounds

    @property
    def grounds(self) -> ProofGrounds:
        """Return why the request can't have run."""
        return self._grounds


class Fenceable(abc.ABC):
    """Something that may be barred from running for ever."""

    @property
    @abc.abstractmethod
    def is_fenced(self) -> bool:
        """Tell whether it is barred for ever."""


class BackendContact:
    """How far the attempts to run one request have got.

    It is shared by all copies of a request. Whoever sends the first byte of a
    request to a backend server, or hands it to another companion, reports that
    here beforehand, and afterwards whether that attempt provably did not run.
    """

    def __init__(self) -> None:
        """Start without an attempt."""
        self._attempts = 0
        self._not_run = 0

    @property
    def has_begun(self) -> bool:
        """Tell whether any attempt has begun."""
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
        return NotRunProof(ProofGrounds.NOT_SENT, _MAKER)
    if contact._attempts == contact._not_run:
        return NotRunProof(ProofGrounds.SHED, _MAKER)
    return None


def prove_fenced(fenceable: Fenceable) -> NotRunProof | None:
    """Return a proof if the ticket is fenced, else None."""
    if not fenceable.is_fenced:
        return None
    return NotRunProof(ProofGrounds.FENCED, _MAKER)


def prove_by_executor(says_not_run: bool) -> NotRunProof | None:
    """Return a proof if the executor itself said that the request has not run.

    Call it only with the answer of the companion that a ticket names.
    """
    if not says_not_run:
        return None
    return NotRunProof(ProofGrounds.EXECUTOR, _MAKER)
