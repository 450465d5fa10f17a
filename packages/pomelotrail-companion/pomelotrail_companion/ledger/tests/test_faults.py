"""Tests of single faults, with real ledgers and a fake network."""

import asyncio
import random
import unittest
from datetime import timedelta

from harness.fake_backend_servers import Ending, answer_body
from harness.fake_clock import FakeClock, async_run_ready_tasks
from harness.fake_companions import Delivery, FakeCompanion, FakeNetwork
from pomelotrail_companion.ledger.const import (
    OFFERED_TICKET_COUNT,
    OFFERED_TICKETS_HEADER,
    TICKET_HEADER,
)
from pomelotrail_companion.requests import Answer, Outcome
from pomelotrail_companion.requests.refusals import RefusalKind


class FaultsTest(unittest.IsolatedAsyncioTestCase):
    """An executor, a companion that receives retries, and a third one."""

    async def asyncSetUp(self) -> None:
        """Start three companions."""
        self.clock = FakeClock()
        self.deliveries: list[Delivery] = []
        self.ending: Ending | None = None
        self.network = FakeNetwork(
            3,
            self.clock,
            random.Random(0),
            lambda: self.deliveries.pop(0) if self.deliveries else Delivery.DELIVER,
            lambda: self.ending,
        )
        self.executor, self.other, self.third = self.network.companions
        self.ticket = self.executor.issuer.issue_sealed()
        self.servers = self.network.backend_servers

    async def _async_send(
        self, companion: FakeCompanion, ticket: str | None = None
    ) -> Answer:
        """Send the request and return its answer."""
        answer = await self.network.async_send(companion, "r", ticket or self.ticket)
        assert answer is not None
        return answer

    async def _async_begin(self, companion: FakeCompanion) -> asyncio.Task[Answer]:
        """Send the request, and return once all tasks are idle."""
        task = asyncio.create_task(self._async_send(companion))
        await async_run_ready_tasks()
        return task

    def _assert_refused(
        self, answer: Answer, kind: RefusalKind, outcome: Outcome
    ) -> None:
        """Check that an answer is this refusal."""
        assert answer.refusal is not None
        self.assertIs(answer.refusal.kind, kind)
        self.assertIs(answer.refusal.outcome, outcome)

    async def _async_assert_complete(self, answer: Answer) -> None:
        """Check that an answer is complete and that the request ran once."""
        self.assertIsNone(answer.refusal)
        body = b"".join([chunk async for chunk in answer.body])
        self.assertEqual(body, answer_body("r"))
        self.assertEqual(self.servers.count("r"), 1)

    async def test_a_request_without_a_ticket_gets_one(self) -> None:
        """The refusal says "not run" and contains a valid ticket."""
        self.ending = Ending.COMPLETE
        answer = await self.network.async_send(self.executor, "r", None)
        assert answer is not None
        self._assert_refused(answer, RefusalKind.TICKET_REQUIRED, Outcome.NOT_RUN)
        ticket = answer.header(TICKET_HEADER)
        answer = await self._async_send(self.executor, ticket)
        await self._async_assert_complete(answer)
        offered = (answer.header(OFFERED_TICKETS_HEADER) or "").split(", ")
        self.assertEqual(len(set(offered)), OFFERED_TICKET_COUNT)

    async def test_concurrent_retries_wait_for_the_running_one(self) -> None:
        """All of them get the same answer, from every companion."""
        tasks = [
            await self._async_begin(companion)
            for companion in (self.executor, self.executor, self.other, self.third)
        ]
        self.servers.running[0].ending.set_result(Ending.COMPLETE)
        for task in tasks:
            await self._async_assert_complete(await task)

    async def test_killed_before_execution(self) -> None:
        """The outcome is unknown, since no companion can prove that it did not run."""
        self.executor.kill()
        answer = await self._async_send(self.other)
        self._assert_refused(answer, RefusalKind.EXECUTOR_UNREACHABLE, Outcome.UNKNOWN)
        self.assertIsNotNone(answer.header("retry-after"))
        self.assertEqual(self.servers.count("r"), 0)

    async def test_killed_during_execution_and_restarted(self) -> None:
        """The next incarnation at the address returns a final unknown outcome."""
        task = await self._async_begin(self.executor)
        self.executor.restart()
        with self.assertRaises(AssertionError):
            await task
        for companion in (self.other, self.executor):
            answer = await self._async_send(companion)
            self._assert_refused(answer, RefusalKind.EXECUTOR_GONE, Outcome.UNKNOWN)
            self.assertIsNone(answer.header("retry-after"))
        self.assertEqual(self.servers.count("r"), 1)

    async def test_killed_after_execution(self) -> None:
        """A retry after the restart does not run the request again."""
        self.ending = Ending.COMPLETE
        await self._async_assert_complete(await self._async_send(self.executor))
        self.executor.restart()
        answer = await self._async_send(self.other)
        self._assert_refused(answer, RefusalKind.EXECUTOR_GONE, Outcome.UNKNOWN)
        self.assertEqual(self.servers.count("r"), 1)

    async def test_a_disconnected_caller_does_not_cancel_its_request(self) -> None:
        """The request continues, and the retry gets its answer."""
        task = await self._async_begin(self.executor)
        task.cancel()
        await async_run_ready_tasks()
        self.servers.running[0].ending.set_result(Ending.COMPLETE)
        await self._async_assert_complete(await self._async_send(self.other))

    async def test_a_fence_comes_before_not_run(self) -> None:
        """A late first message finds its ticket fenced."""
        answer = await self._async_send(self.other)
        self._assert_refused(answer, RefusalKind.TICKET_FENCED, Outcome.NOT_RUN)
        answer = await self._async_send(self.executor)
        self._assert_refused(answer, RefusalKind.TICKET_FENCED, Outcome.NOT_RUN)
        self.assertEqual(self.servers.count("r"), 0)

    async def test_a_paused_executor(self) -> None:
        """Retries wait; after the executor resumes they get the true outcome."""
        self.executor.pause()
        first = await self._async_begin(self.executor)
        retry = await self._async_begin(self.other)
        self.assertFalse(first.done() or retry.done())
        self.ending = Ending.COMPLETE
        self.executor.resume()
        outcomes = [await first, await retry]
        # The first to arrive determines the outcome: run for both, or for neither.
        refused = [answer for answer in outcomes if answer.refusal is not None]
        self.assertEqual(len(refused), 0 if self.servers.count("r") else 2)

    async def test_a_partition_while_both_sides_serve(self) -> None:
        """The isolated side answers "unknown, ask again", and later the outcome."""
        self.ending = Ending.COMPLETE
        self.network.cut_link(self.executor, self.other)
        await self._async_assert_complete(await self._async_send(self.executor))
        answer = await self._async_send(self.other)
        self._assert_refused(answer, RefusalKind.EXECUTOR_UNREACHABLE, Outcome.UNKNOWN)
        self.network.restore_links()
        await self._async_assert_complete(await self._async_send(self.other))

    async def test_a_lost_or_mismatched_answer_of_the_executor(self) -> None:
        """The retry after it gets the same answer."""
        self.ending = Ending.COMPLETE
        await self._async_send(self.executor)
        for delivery in (Delivery.LOSE_ANSWER, Delivery.MISMATCH_ANSWER):
            self.deliveries = [delivery]
            answer = await self._async_send(self.other)
            self._assert_refused(
                answer, RefusalKind.EXECUTOR_UNREACHABLE, Outcome.UNKNOWN
            )
            await self._async_assert_complete(await self._async_send(self.other))

    async def test_the_deadline_of_a_running_request(self) -> None:
        """The refusal tells the caller to retry, and the retry gets the answer."""
        task = await self._async_begin(self.executor)
        await self.clock.async_advance(timedelta(seconds=31))
        answer = await task
        self._assert_refused(answer, RefusalKind.STILL_RUNNING, Outcome.UNKNOWN)
        self.servers.running[0].ending.set_result(Ending.COMPLETE)
        await self._async_assert_complete(await self._async_send(self.other))

    async def test_a_shed_request_is_fenced(self) -> None:
        """ "Not run" stays true, since the ticket can't run any more."""
        self.ending = Ending.SHED
        answer = await self._async_send(self.executor)
        self._assert_refused(answer, RefusalKind.SHED, Outcome.NOT_RUN)
        self.ending = Ending.COMPLETE
        answer = await self._async_send(self.executor)
        self._assert_refused(answer, RefusalKind.TICKET_FENCED, Outcome.NOT_RUN)
        self.assertEqual(self.servers.count("r"), 0)

    async def test_leaving_while_running(self) -> None:
        """A running request completes here, and retries get its answer."""
        task = await self._async_begin(self.executor)
        self.executor.is_leaving = True
        retry = await self._async_begin(self.executor)
        self.servers.running[0].ending.set_result(Ending.COMPLETE)
        await self._async_assert_complete(await task)
        await self._async_assert_complete(await retry)

    async def test_leaving_and_delegating(self) -> None:
        """An unseen ticket runs elsewhere; duplicates are sent there too."""
        self.executor.is_leaving = True
        tasks = [
            await self._async_begin(companion)
            for companion in (self.executor, self.executor, self.other)
        ]
        self.assertEqual(self.servers.count("r"), 1)
        self.servers.running[0].ending.set_result(Ending.COMPLETE)
        for task in tasks:
            await self._async_assert_complete(await task)

    async def test_duplicates_while_the_next_executor_is_paused(self) -> None:
        """Both wait for a ticket to delegate to; one of them delegates."""
        self.executor.is_leaving = True
        self.other.pause()
        self.third.pause()
        tasks = [await self._async_begin(self.executor) for _ in range(2)]
        self.other.resume()
        self.third.resume()
        await async_run_ready_tasks()
        self.servers.running[0].ending.set_result(Ending.COMPLETE)
        for task in tasks:
            await self._async_assert_complete(await task)

    async def test_a_lost_delegation(self) -> None:
        """The retry fences the ticket at the executor that it was delegated to."""
        self.executor.is_leaving = True
        self.deliveries = [Delivery.DELIVER, Delivery.LOSE_REQUEST]
        answer = await self._async_send(self.executor)
        self._assert_refused(answer, RefusalKind.EXECUTOR_UNREACHABLE, Outcome.UNKNOWN)
        answer = await self._async_send(self.executor)
        self._assert_refused(answer, RefusalKind.TICKET_FENCED, Outcome.NOT_RUN)
        self.assertEqual(self.servers.count("r"), 0)

    async def test_no_companion_to_delegate_to(self) -> None:
        """The leaving companion fences the ticket and says "not run"."""
        self.executor.is_leaving = True
        self.other.kill()
        self.third.kill()
        answer = await self._async_send(self.executor)
        self._assert_refused(answer, RefusalKind.LEAVING, Outcome.NOT_RUN)
        self.executor.is_leaving = False
        answer = await self._async_send(self.executor)
        self._assert_refused(answer, RefusalKind.TICKET_FENCED, Outcome.NOT_RUN)

    async def test_a_delegated_executor_that_restarts(self) -> None:
        """The outcome is unknown, and nothing runs twice."""
        self.executor.is_leaving = True
        task = await self._async_begin(self.executor)
        for companion in (self.other, self.third):
            companion.restart()
        self._assert_refused(
            await task, RefusalKind.EXECUTOR_UNREACHABLE, Outcome.UNKNOWN
        )
        answer = await self._async_send(self.executor)
        self._assert_refused(answer, RefusalKind.EXECUTOR_GONE, Outcome.UNKNOWN)
        self.assertEqual(self.servers.count("r"), 1)
