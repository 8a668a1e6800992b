"""Unit tests: queue, warm-up, pressure, shares, membership, keeper, quarantine, limiter, wire."""

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


def test_expired_jobs_and_jobs_that_cannot_finish_in_time_are_not_sent():
    queue, results = JobQueue(), []
    queue.push(make_job(results, deadline=1.0))
    queue.push(make_job(results, deadline=2.05))
    check.assertIsNone(queue.pop(2.0, min_service_s=0.1))
    check.assertEqual([Reason.EXPIRED_IN_QUEUE] * 2, [result.reason for result in results])
    check.assertEqual({Outcome.NOT_RUN}, {result.outcome for result in results})


def test_full_queue_declines_the_lowest_priority_job():
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


def make_warm_state() -> Warmth:
    warmth = Warmth(warm_after=3)
    for _ in range(4):
        warmth.note_answer("i1", reports_cold=False, service_s=0.01)
    return warmth


def test_a_server_is_warm_after_answers_in_a_row():
    check.assertTrue(make_warm_state().is_warm)
    check.assertFalse(Warmth(warm_after=3).is_warm)


def test_restart_or_a_cold_report_makes_a_server_cold():
    for incarnation, reports_cold in (("i2", False), ("i1", True)):
        warmth = make_warm_state()
        warmth.note_answer(incarnation, reports_cold, 0.01)
        check.assertFalse(warmth.is_warm)


def test_three_slow_answers_make_a_server_cold_but_one_does_not():
    warmth = make_warm_state()
    warmth.note_answer("i1", False, 0.5)
    check.assertTrue(warmth.is_warm)
    warmth.note_answer("i1", False, 0.5)
    warmth.note_answer("i1", False, 0.9)
    check.assertFalse(warmth.is_warm)


def test_two_late_cancels_make_a_server_cold_but_one_does_not():
    warmth = make_warm_state()
    warmth.note_cancelled(0.05)
    check.assertTrue(warmth.is_warm)
    check.assertTrue(warmth.may_be_cold)
    warmth.note_cancelled(0.015)
    check.assertTrue(warmth.is_warm)
    warmth.note_cancelled(0.05)
    check.assertFalse(warmth.is_warm)


@virtual_time
async def test_pressure_limit_halves_on_shedding_and_recovers():
    pressure = Pressure(8, LoopClock())
    pressure.note_shed()
    check.assertEqual(0, pressure.limit())
    await asyncio.sleep(0.1)
    check.assertEqual(4, pressure.limit())
    for _ in range(40):
        pressure.note_answer()
    check.assertEqual(8, pressure.limit())


@virtual_time
async def test_pressure_limit_follows_the_slots_in_new_tables():
    pressure = Pressure(2, LoopClock())
    pressure.resize(6)
    check.assertEqual(6, pressure.limit())
    pressure.note_shed()
    await asyncio.sleep(0.1)
    pressure.resize(8)
    check.assertEqual(3, pressure.limit())
    pressure.resize(2)
    check.assertEqual(2, pressure.limit())


def test_halves_add_up_to_the_limit():
    for limit in range(30):
        check.assertEqual(limit, larger_half(limit) + smaller_half(limit))


def test_rendezvous_hashing_moves_only_the_keys_of_a_lost_vm():
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


def test_process_refutes_its_own_suspicion():
    table = MemberTable(make_member("own"))
    table.merge(make_member("own", state=MemberState.SUSPECT))
    check.assertEqual((1, MemberState.ALIVE), (table.own.incarnation, table.own.state))


@virtual_time
async def test_view_age_counts_from_the_confirming_request():
    confirmation = ViewConfirmation(LoopClock())
    check.assertFalse(confirmation.is_fresh())
    await asyncio.sleep(10)
    confirmation.confirm(requested_at=5.0)
    check.assertFalse(confirmation.is_fresh())
    confirmation.confirm(requested_at=9.0)
    check.assertTrue(confirmation.is_fresh())


def make_answer() -> QueryAnswer:
    return QueryAnswer("", 1, {0: b"done"}, ())


class RunCounter:
    """Counts how often its `run` is called."""

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
async def test_key_runs_once_and_every_delivery_gets_its_result():
    keeper, token = make_keeper()
    counter = RunCounter()
    key = read_key(f"{token}/a")
    results = await asyncio.gather(*(keeper.run(key, "f", counter.run) for _ in range(3)))
    check.assertEqual([make_answer()] * 3, results)
    check.assertEqual(1, counter.runs)


@virtual_time
async def test_the_same_key_with_another_body_is_refused():
    keeper, token = make_keeper()
    counter = RunCounter()
    await keeper.run(read_key(f"{token}/a"), "f", counter.run)
    result = await keeper.run(read_key(f"{token}/a"), "g", counter.run)
    check.assertEqual(NotRun(NotRunReason.KEY_REUSED), result)


@virtual_time
async def test_expired_token_is_not_run_and_an_outlived_one_is_unknown():
    keeper, token = make_keeper()
    counter = RunCounter()
    await asyncio.sleep(601)
    result = await keeper.run(read_key(f"{token}/a"), "f", counter.run)
    check.assertEqual(NotRun(NotRunReason.TOKEN_EXPIRED), result)
    await asyncio.sleep(301)
    result = await keeper.run(read_key(f"{token}/b"), "f", counter.run)
    check.assertEqual(Unknown(UnknownReason.TOKEN_OUTLIVED), result)
    check.assertEqual(0, counter.runs)


@virtual_time
async def test_a_refusal_while_draining_is_remembered():
    keeper, token = make_keeper()
    keeper.drain()
    counter = RunCounter()
    for _ in range(2):
        result = await keeper.run(read_key(f"{token}/a"), "f", counter.run)
        check.assertEqual(NotRun(NotRunReason.DRAINING), result)
    check.assertIsNone(keeper.new_token())


def test_malformed_keys_are_read_as_bad_key():
    for text in ("", "x", "vm.1.2", "vm.1.2/", "vm.one.2/a", "vm.1.2/a b", "v" * 300):
        check.assertIsInstance(read_key(text), BadKey)


def test_outcome_rejects_a_reason_of_the_other_type():
    with check.assertRaises(TypeError):
        NotRun(UnknownReason.TIMED_OUT)
    with check.assertRaises(TypeError):
        Unknown(NotRunReason.OVERLOADED)


def make_quarantine() -> QuarantineBook:
    return QuarantineBook(PeerPort("vm", 1, Metrics()), lambda: [], LoopClock(), Metrics())


@virtual_time
async def test_first_server_loss_suspects_and_a_loss_under_suspicion_refuses():
    quarantine = make_quarantine()
    first = quarantine.assess("f", Canary.SUSPECT)
    check.assertFalse(first.needs_canary)
    quarantine.note_server_lost("f", first)
    quarantine.note_server_lost("f", first)
    second = quarantine.assess("f", Canary.SUSPECT)
    check.assertTrue(second.needs_canary)
    check.assertFalse(second.refused)
    quarantine.note_server_lost("f", second)
    check.assertTrue(quarantine.assess("f", Canary.SUSPECT).refused)
    check.assertFalse(quarantine.assess("g", Canary.SUSPECT).suspected)
    await asyncio.sleep(61)
    check.assertFalse(quarantine.assess("f", Canary.SUSPECT).refused)


@virtual_time
async def test_concurrent_losses_in_a_lost_zone_do_not_refuse_a_request():
    quarantine = make_quarantine()
    for run in [quarantine.assess("f", Canary.SUSPECT) for _ in range(5)]:
        quarantine.note_server_lost("f", run)
    check.assertFalse(quarantine.assess("f", Canary.SUSPECT).refused)


def test_the_budget_bounds_extra_sub_requests():
    budget = ExtraBudget(share=0.05)
    taken = 0
    for _ in range(1000):
        budget.note_first(10)
        taken += sum(budget.take() for _ in range(10))
    check.assertLessEqual(taken, 0.05 * 10_000 + 10)


@virtual_time
async def test_limiter_refuses_queries_that_cannot_finish_in_time():
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


def test_garbage_and_unsupported_versions_are_frame_errors():
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


def test_damaged_or_oversized_compressed_datagram_is_a_frame_error():
    compressed = encode_compressed(Datagram(1, "vm" * 5000, 2))
    check.assertLess(len(compressed), 200)
    check.assertEqual("vm" * 5000, decode_datagram(compressed).sender)
    for data in (compressed[:-5], compressed[:10] + b"\xff" + compressed[11:]):
        with check.assertRaises(FrameError):
            decode_datagram(data)
    with check.assertRaises(FrameError):
        decode_datagram(encode_compressed(Datagram(1, "v" * MAX_DECOMPRESSED_DATAGRAM_BYTES, 2)))


load_tests = make_load_tests(globals())
