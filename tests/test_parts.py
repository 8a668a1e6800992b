"""Single parts: queue, warmth, pressure, shares, keeper, quarantine, limiter, wire."""

import asyncio
import random

from bergamotgate.admission import Job, JobQueue, JobResult, Pressure, QueuePriority, Warmth
from bergamotgate.clock import LoopClock
from bergamotgate.config import Canary
from bergamotgate.errors import FrameError
from bergamotgate.gather import ExtraBudget, QueryAnswer, QueryLimiter
from bergamotgate.gather.limiter import Congestion
from bergamotgate.keeper import BadKey, KeeperBook, read_key
from bergamotgate.membership import Member, MemberState, MemberTable, ViewConfirmation
from bergamotgate.metrics import Metrics
from bergamotgate.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from bergamotgate.ownership import rank
from bergamotgate.ownership.share import larger_half, smaller_half
from bergamotgate.quarantine import QuarantineBook
from bergamotgate.wire import (
    MAX_DATAGRAM_BYTES,
    MAX_DECOMPRESSED_DATAGRAM_BYTES,
    decode_datagram,
    decode_frame,
    encode,
    encode_compressed,
)
from bergamotgate.wire.generated.ttypes import Datagram, Frame, Outcome, Reason
from bergamotgate.wire.port import PeerPort
from tests.support import check, make_load_tests, virtual_time


def make_job(results: list[JobResult], patience_ms=0, began_at=0.0, deadline=10.0) -> Job:
    return Job(
        identifier="j",
        snapshot="s1",
        shard=0,
        body=b"",
        arrived_at=began_at,
        deadline=deadline,
        priority=QueuePriority(patience_ms, began_at),
        only_if_free=False,
        repeatable=True,
        key="",
        on_done=results.append,
    )


def make_member(vm="vm-1", boot=1, incarnation=0, state=MemberState.ALIVE) -> Member:
    return Member(vm, "a", "10.0.0.1:1", "10.0.0.1:2", boot, incarnation, state)


def test_urgent_jobs_go_first_and_older_queries_before_newer():
    queue, results = JobQueue(), []
    patient = make_job(results, patience_ms=300, began_at=0.0)
    newer = make_job(results, began_at=2.0)
    older = make_job(results, began_at=1.0)
    for job in (patient, newer, older):
        queue.push(job)
    check.assertEqual([older, newer, patient], [queue.pop(3.0) for _ in range(3)])


def test_expired_and_hopeless_jobs_are_declined_unsent():
    queue, results = JobQueue(), []
    queue.push(make_job(results, deadline=1.0))
    queue.push(make_job(results, deadline=2.05))
    check.assertIsNone(queue.pop(2.0, min_service_s=0.1))
    check.assertEqual([Reason.EXPIRED_IN_QUEUE] * 2, [result.reason for result in results])
    check.assertEqual({Outcome.NOT_RUN}, {result.outcome for result in results})


def test_a_full_queue_declines_the_last_in_order():
    queue, results = JobQueue(limit=1), []
    kept = make_job(results, began_at=1.0)
    queue.push(make_job(results, patience_ms=300))
    queue.push(kept)
    check.assertEqual([Reason.QUEUE_FULL], [result.reason for result in results])
    check.assertIs(kept, queue.pop(1.0))


def test_a_job_has_one_result():
    results = []
    job = make_job(results)
    job.decline(Reason.QUEUE_FULL)
    job.finish(JobResult(Outcome.ANSWERED))
    check.assertEqual(1, len(results))


def make_warm() -> Warmth:
    warmth = Warmth(warm_after=3)
    for _ in range(4):
        warmth.note_answer("i1", reports_cold=False, service_s=0.01)
    return warmth


def test_a_server_is_warm_after_answers_in_a_row():
    check.assertTrue(make_warm().is_warm)
    check.assertFalse(Warmth(warm_after=3).is_warm)


def test_a_restart_or_its_own_word_makes_a_server_cold():
    for incarnation, reports_cold in (("i2", False), ("i1", True)):
        warmth = make_warm()
        warmth.note_answer(incarnation, reports_cold, 0.01)
        check.assertFalse(warmth.is_warm)


def test_three_slow_answers_make_a_server_cold_one_does_not():
    warmth = make_warm()
    warmth.note_answer("i1", False, 0.5)
    check.assertTrue(warmth.is_warm)
    warmth.note_answer("i1", False, 0.5)
    warmth.note_answer("i1", False, 0.9)
    check.assertFalse(warmth.is_warm)


def test_two_answers_given_up_late_make_a_server_cold_one_does_not():
    warmth = make_warm()
    warmth.note_cancelled(0.05)
    check.assertTrue(warmth.is_warm)
    check.assertTrue(warmth.may_be_cold)
    warmth.note_cancelled(0.015)
    check.assertTrue(warmth.is_warm)
    warmth.note_cancelled(0.05)
    check.assertFalse(warmth.is_warm)


@virtual_time
async def test_pressure_halves_when_a_server_sheds_and_recovers():
    pressure = Pressure(8, LoopClock())
    pressure.note_shed()
    check.assertEqual(0, pressure.limit())
    await asyncio.sleep(0.1)
    check.assertEqual(4, pressure.limit())
    for _ in range(40):
        pressure.note_answer()
    check.assertEqual(8, pressure.limit())


@virtual_time
async def test_pressure_follows_the_slots_of_new_tables():
    pressure = Pressure(2, LoopClock())
    pressure.resize(6)
    check.assertEqual(6, pressure.limit())
    pressure.note_shed()
    await asyncio.sleep(0.1)
    pressure.resize(8)
    check.assertEqual(3, pressure.limit())
    pressure.resize(2)
    check.assertEqual(2, pressure.limit())


def test_halves_never_add_up_to_more_than_the_limit():
    for limit in range(30):
        check.assertEqual(limit, larger_half(limit) + smaller_half(limit))


def test_rendezvous_moves_only_what_a_lost_vm_had():
    vms = [f"vm-{n}" for n in range(9)]
    keys = [f"group-{n}" for n in range(200)]
    before = {key: rank(key, vms)[0] for key in keys}
    after = {key: rank(key, vms[1:])[0] for key in keys}
    moved = {key for key in keys if before[key] != after[key]}
    check.assertEqual({key for key in keys if before[key] == "vm-0"}, moved)


def test_a_higher_incarnation_wins_and_a_worse_state_at_the_same_one():
    table = MemberTable(make_member("own"))
    table.merge(make_member())
    check.assertTrue(table.merge(make_member(state=MemberState.DEAD)))
    check.assertFalse(table.merge(make_member()))
    check.assertTrue(table.merge(make_member(incarnation=1)))
    check.assertTrue(table.reachable("vm-1"))
    check.assertTrue(table.merge(make_member(boot=2)))


def test_a_process_contradicts_what_is_said_of_it():
    table = MemberTable(make_member("own"))
    table.merge(make_member("own", state=MemberState.SUSPECT))
    check.assertEqual((1, MemberState.ALIVE), (table.own.incarnation, table.own.state))


@virtual_time
async def test_a_view_is_as_old_as_the_question_that_confirmed_it():
    confirmation = ViewConfirmation(LoopClock())
    check.assertFalse(confirmation.is_fresh())
    await asyncio.sleep(10)
    confirmation.confirm(requested_at=5.0)
    check.assertFalse(confirmation.is_fresh())
    confirmation.confirm(requested_at=9.0)
    check.assertTrue(confirmation.is_fresh())


def make_answer() -> QueryAnswer:
    return QueryAnswer("", 1, {0: b"done"}, ())


class Booking:
    """Counts how often it runs."""

    def __init__(self):
        self.runs = 0

    async def run(self):
        self.runs += 1
        await asyncio.sleep(0.1)
        return make_answer()


def make_keeper() -> tuple[KeeperBook, str]:
    keeper = KeeperBook("vm-1", 7, LoopClock())
    return keeper, keeper.new_token().text()


@virtual_time
async def test_a_key_runs_once_and_every_delivery_gets_its_result():
    keeper, token = make_keeper()
    booking = Booking()
    key = read_key(f"{token}/a")
    results = await asyncio.gather(*(keeper.run(key, "f", booking.run) for _ in range(3)))
    check.assertEqual([make_answer()] * 3, results)
    check.assertEqual(1, booking.runs)


@virtual_time
async def test_the_same_key_with_another_body_is_refused():
    keeper, token = make_keeper()
    booking = Booking()
    await keeper.run(read_key(f"{token}/a"), "f", booking.run)
    result = await keeper.run(read_key(f"{token}/a"), "g", booking.run)
    check.assertEqual(NotRun(NotRunReason.KEY_REUSED), result)


@virtual_time
async def test_an_expired_token_runs_nothing_and_an_outlived_one_proves_nothing():
    keeper, token = make_keeper()
    booking = Booking()
    await asyncio.sleep(601)
    result = await keeper.run(read_key(f"{token}/a"), "f", booking.run)
    check.assertEqual(NotRun(NotRunReason.TOKEN_EXPIRED), result)
    await asyncio.sleep(301)
    result = await keeper.run(read_key(f"{token}/b"), "f", booking.run)
    check.assertEqual(Unknown(UnknownReason.TOKEN_OUTLIVED), result)
    check.assertEqual(0, booking.runs)


@virtual_time
async def test_a_refusal_while_draining_is_remembered():
    keeper, token = make_keeper()
    keeper.drain()
    booking = Booking()
    for _ in range(2):
        result = await keeper.run(read_key(f"{token}/a"), "f", booking.run)
        check.assertEqual(NotRun(NotRunReason.DRAINING), result)
    check.assertIsNone(keeper.new_token())


def test_bad_keys_are_sentinels():
    for text in ("", "x", "vm.1.2", "vm.1.2/", "vm.one.2/a", "vm.1.2/a b", "v" * 300):
        check.assertIsInstance(read_key(text), BadKey)


def test_a_wrong_claim_cannot_be_built():
    with check.assertRaises(TypeError):
        NotRun(UnknownReason.TIMED_OUT)
    with check.assertRaises(TypeError):
        Unknown(NotRunReason.OVERLOADED)


def make_quarantine() -> QuarantineBook:
    return QuarantineBook(PeerPort("vm", 1, Metrics()), lambda: [], LoopClock(), Metrics())


@virtual_time
async def test_one_run_makes_suspect_a_suspected_one_makes_refused():
    book = make_quarantine()
    first = book.assess("f", Canary.SUSPECT)
    check.assertFalse(first.needs_canary)
    book.note_server_lost("f", first)
    book.note_server_lost("f", first)
    second = book.assess("f", Canary.SUSPECT)
    check.assertTrue(second.needs_canary)
    check.assertFalse(second.refused)
    book.note_server_lost("f", second)
    check.assertTrue(book.assess("f", Canary.SUSPECT).refused)
    check.assertFalse(book.assess("g", Canary.SUSPECT).suspected)
    await asyncio.sleep(61)
    check.assertFalse(book.assess("f", Canary.SUSPECT).refused)


@virtual_time
async def test_many_runs_of_an_innocent_request_in_a_lost_zone_are_not_refused():
    book = make_quarantine()
    for run in [book.assess("f", Canary.SUSPECT) for _ in range(5)]:
        book.note_server_lost("f", run)
    check.assertFalse(book.assess("f", Canary.SUSPECT).refused)


def test_the_budget_bounds_extra_sub_requests():
    budget = ExtraBudget(share=0.05)
    taken = 0
    for _ in range(1000):
        budget.note_first(10)
        taken += sum(budget.take() for _ in range(10))
    check.assertLessEqual(taken, 0.05 * 10_000 + 10)


@virtual_time
async def test_the_limiter_refuses_what_cannot_end_in_time():
    limiter = QueryLimiter(LoopClock(), capacity=1, gateways=10)
    now = asyncio.get_running_loop().time()
    check.assertEqual(2, limiter.limit)
    for _ in range(2):
        check.assertIsNotNone(await limiter.admit(now + 1))
    waiting = asyncio.ensure_future(limiter.admit(now + 0.2))
    await asyncio.sleep(0.3)
    check.assertIsNone(await waiting)
    limiter.release(Congestion.EXPIRY, None)
    check.assertEqual(1, limiter.limit)


def test_garbage_and_foreign_versions_are_frame_errors():
    rng = random.Random(3)
    good = encode(Frame(version=1, echo=5))
    for _ in range(2000):
        data = bytearray(good)
        data[rng.randrange(len(data))] = rng.randrange(256)
        try:
            decode_frame(bytes(data))
        except FrameError:
            continue
    for data in (b"", b"\x00" * 40, encode(Frame(version=2, echo=5))):
        with check.assertRaises(FrameError):
            decode_frame(data)
    with check.assertRaises(FrameError):
        decode_datagram(b"x" * (MAX_DATAGRAM_BYTES + 1))
    check.assertEqual("vm", decode_datagram(encode(Datagram(1, "vm", 2))).sender)


def test_a_packed_message_that_is_damaged_or_far_too_long_is_a_frame_error():
    packed = encode_compressed(Datagram(1, "vm" * 5000, 2))
    check.assertLess(len(packed), 200)
    check.assertEqual("vm" * 5000, decode_datagram(packed).sender)
    for data in (packed[:-5], packed[:10] + b"\xff" + packed[11:]):
        with check.assertRaises(FrameError):
            decode_datagram(data)
    with check.assertRaises(FrameError):
        decode_datagram(encode_compressed(Datagram(1, "v" * MAX_DECOMPRESSED_DATAGRAM_BYTES, 2)))


load_tests = make_load_tests(globals())
