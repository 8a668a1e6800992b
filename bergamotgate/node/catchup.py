"""Fetches newer tables and VM lists from the peers whose datagrams announce them."""

from collections import deque

from loguru import logger

from bergamotgate.clock import TaskGroup
from bergamotgate.config.tablestore import TableStore
from bergamotgate.errors import LinkLost
from bergamotgate.membership.liststore import VmListStore
from bergamotgate.revision import NOTHING
from bergamotgate.wire.codec import WIRE_VERSION
from bergamotgate.wire.generated.ttypes import (
    Datagram,
    Frame,
    RevisionMark,
    TablesReply,
    VmListAsk,
    VmListReply,
)
from bergamotgate.wire.links import Links, PeerProcess
from bergamotgate.wire.marks import era_field, position_of

__all__ = ["CatchUp", "answer_frame"]

FETCH_TIMEOUT_S = 2.0
KEPT_REJECTED_MARKS = 16


class CatchUp:
    """Keeps the tables and the VM list of this process as new as those of its peers."""

    def __init__(self, tables: TableStore, vm_lists: VmListStore, links: Links):
        self._tables = tables
        self._vm_lists = vm_lists
        self._links = links
        self._tasks = TaskGroup("config:")
        self._fetching_tables = NOTHING
        self._fetching_vm_list = NOTHING
        # What peers announce and this build rejects is fetched once.
        self._rejected_tables: deque[RevisionMark] = deque(maxlen=KEPT_REJECTED_MARKS)
        self._rejected_vm_lists: deque[RevisionMark] = deque(maxlen=KEPT_REJECTED_MARKS)

    async def close(self) -> None:
        """Cancel the fetches in progress."""
        await self._tasks.close()

    def receive(self, address: str, message: Datagram) -> None:
        """Fetch what a datagram announces at a higher position than the one in force."""
        mark = message.tables
        if mark is not None:
            self._tables.compare(mark)
        if mark is not None and self._is_newer_table(mark):
            self._fetching_tables = position_of(mark)
            self._tasks.start(self._fetch_tables(address, mark))
        mark = message.vm_list
        if mark is not None:
            self._vm_lists.compare(mark)
        if mark is not None and self._is_newer_vm_list(mark):
            self._fetching_vm_list = position_of(mark)
            self._tasks.start(self._fetch_vm_list(address, mark))

    def _is_newer_table(self, mark: RevisionMark) -> bool:
        newest = max(self._tables.position, self._fetching_tables)
        return position_of(mark) > newest and mark not in self._rejected_tables

    def _is_newer_vm_list(self, mark: RevisionMark) -> bool:
        newest = max(self._vm_lists.position, self._fetching_vm_list)
        return position_of(mark) > newest and mark not in self._rejected_vm_lists

    async def _fetch_tables(self, address: str, mark: RevisionMark) -> None:
        try:
            reply = await self._request_tables(
                address, self._tables.make_request(self._links.next_call_id())
            )
            if reply is not None and not self._tables.apply_reply(reply) and reply.whole is None:
                # The delta did not match the base of this process; request the complete text.
                request = self._tables.make_request(self._links.next_call_id())
                request.have_digest = ""
                reply = await self._request_tables(address, request)
                if reply is not None:
                    self._tables.apply_reply(reply)
            if self._tables.last_rejected == position_of(mark):
                self._rejected_tables.append(mark)
        except LinkLost as error:
            logger.warning("config: Could not fetch the tables from a peer: {}", error)
        finally:
            self._fetching_tables = NOTHING

    async def _request_tables(self, address: str, request: object) -> TablesReply | None:
        frame = Frame(version=WIRE_VERSION, tables_ask=request)
        answer = await self._links.link_to(PeerProcess(address)).call(
            request.call, frame, FETCH_TIMEOUT_S
        )
        return answer.tables_reply

    async def _fetch_vm_list(self, address: str, mark: RevisionMark) -> None:
        request = VmListAsk(self._links.next_call_id())
        frame = Frame(version=WIRE_VERSION, vm_list_ask=request)
        try:
            answer = await self._links.link_to(PeerProcess(address)).call(
                request.call, frame, FETCH_TIMEOUT_S
            )
            reply = answer.vm_list_reply
            if reply is not None:
                text = reply.whole.decode(errors="replace")
                self._vm_lists.offer(reply.revision, text, position_of(reply).history.era)
            if self._vm_lists.last_rejected == position_of(mark):
                self._rejected_vm_lists.append(mark)
        except LinkLost as error:
            logger.warning("platform: Could not fetch the VM list from a peer: {}", error)
        finally:
            self._fetching_vm_list = NOTHING


def answer_frame(frame: Frame, tables: TableStore, vm_lists: VmListStore) -> Frame | None:
    """The reply to a peer's request for the tables or the VM list; None for other frames."""
    if frame.tables_ask is not None:
        reply = tables.make_reply(frame.tables_ask)
        return Frame(version=WIRE_VERSION, tables_reply=reply) if reply is not None else None
    if frame.vm_list_ask is not None and vm_lists.vm_list is not None:
        newest = vm_lists.vm_list
        era = era_field(vm_lists.position)
        reply = VmListReply(frame.vm_list_ask.call, newest.revision, newest.text.encode(), era)
        return Frame(version=WIRE_VERSION, vm_list_reply=reply)
    return None
