"""Tests of refusals and the outcome that they report."""

import json
import unittest
from datetime import timedelta

from pomelotrail_companion.requests import Answer, Outcome, Refusal, refuse
from pomelotrail_companion.requests.proof import (
    BackendContact,
    NotRunProof,
    ProofGrounds,
    prove_by_contact,
    prove_by_executor,
)
from pomelotrail_companion.requests.refusals import (
    OUTCOME_HEADER,
    RefusalKind,
    downgrade_unproven,
)

_NOT_RUN = Refusal(RefusalKind.OVERLOADED, Outcome.NOT_RUN, timedelta(seconds=2))


async def _async_problem(answer: Answer) -> dict[str, object]:
    """Return the problem in the body of an answer."""
    return json.loads(b"".join([chunk async for chunk in answer.body]))


class DowngradeUnprovenTest(unittest.IsolatedAsyncioTestCase):
    """The outcome "not run" is reported only with a proof."""

    async def test_not_run_before_the_first_byte(self) -> None:
        """Nothing was sent, so "not run" is true."""
        answer = downgrade_unproven(refuse(_NOT_RUN), BackendContact())
        self.assertEqual(answer.header(OUTCOME_HEADER), "not-run")
        self.assertEqual(answer.header("retry-after"), "2")
        problem = await _async_problem(answer)
        self.assertEqual(problem["type"], "urn:pomelotrail:overloaded")
        self.assertEqual(problem["outcome"], "not-run")

    async def test_not_run_after_the_first_byte_becomes_unknown(self) -> None:
        """A "not run" without a proof is replaced by "unknown"."""
        contact = BackendContact()
        contact.begin()
        answer = downgrade_unproven(refuse(_NOT_RUN), contact)
        self.assertEqual(answer.header(OUTCOME_HEADER), "unknown")
        self.assertEqual((await _async_problem(answer))["outcome"], "unknown")

    def test_shed_attempts_prove_not_run(self) -> None:
        """The proof holds only while every attempt was shed."""
        contact = BackendContact()
        contact.begin()
        contact.record_not_run()
        proof = prove_by_contact(contact)
        assert proof is not None
        self.assertIs(proof.grounds, ProofGrounds.SHED)
        contact.begin()
        self.assertIsNone(prove_by_contact(contact))

    def test_proofs_are_created_nowhere_else(self) -> None:
        """A proof can't be created without a check of its grounds."""
        with self.assertRaisesRegex(TypeError, "prove_"):
            NotRunProof(ProofGrounds.FENCED, object())
        self.assertIsNone(prove_by_executor(False))
