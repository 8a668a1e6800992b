"""Fetches newer tables and VM lists from the peer whose datagram showed that it has them."""

from loguru import logger

from bergamotgate.clock import TaskGroup
from bergamotgate.config.spread import TableStore
from bergamotgate.errors import LinkLost
from bergamotgate.membership.liststore import VmListStore
from bergamotgate.wire.codec import WIRE_VERSION
from bergamotgate.wire.generated.ttypes import (
    Datagram,
    Frame,
    TablesReply,
    VmListAsk,
    VmListReply,
)
from bergamotgate.wire.links import Links, PeerProcess

__all__ = ["CatchUp", "answer_frame"]

FETCH_TIMEOUT_S = 2.0


class CatchUp:
    """Keeps this process level with what its peers have."""

    def __init__(self, tables: TableStore, vm_lists: VmListStore, links: Links):
        self._tables = tables
        self._vm_lists = vm_lists
        self._links = links
        self._tasks = TaskGroup("config:")
        self._fetching_tables = -1
        self._fetching_list = -1

    async def close(self) -> None:
        """Stop fetching."""
        await self._tasks.close()

    def receive(self, address: str, message: Datagram) -> None:
        """Compare a peer's revisions with those in force."""
        theirs = message.tables.revision if message.tables is not None else -1
        if theirs > max(self._tables.seen_revision, self._fetching_tables):
            self._fetching_tables = theirs
            self._tasks.start(self._fetch_tables(address))
        theirs = message.vm_list.revision if message.vm_list is not None else -1
        if theirs > max(self._vm_lists.seen_revision, self._fetching_list):
            self._fetching_list = theirs
            self._tasks.start(self._fetch_list(address))

    async def _fetch_tables(self, address: str) -> None:
        try:
            reply = await self._ask_tables(
                address, self._tables.make_request(self._links.next_call_id())
            )
            if reply is not None and not self._tables.apply_reply(reply) and reply.whole is None:
                # The base differs after all, so ask for the whole text.
                ask = self._tables.make_request(self._links.next_call_id())
                ask.have_digest = ""
                reply = await self._ask_tables(address, ask)
                if reply is not None:
                    self._tables.apply_reply(reply)
        except LinkLost as error:
            logger.warning("config: The tables of a peer could not be read: {}", error)
        finally:
            self._fetching_tables = -1

    async def _ask_tables(self, address: str, ask: object) -> TablesReply | None:
        frame = Frame(version=WIRE_VERSION, tables_ask=ask)
        answer = await self._links.link_to(PeerProcess(address)).call(
            ask.call, frame, FETCH_TIMEOUT_S
        )
        return answer.tables_reply

    async def _fetch_list(self, address: str) -> None:
        ask = VmListAsk(self._links.next_call_id())
        frame = Frame(version=WIRE_VERSION, vm_list_ask=ask)
        try:
            answer = await self._links.link_to(PeerProcess(address)).call(
                ask.call, frame, FETCH_TIMEOUT_S
            )
            reply = answer.vm_list_reply
            if reply is not None:
                self._vm_lists.offer(reply.revision, reply.whole.decode(errors="replace"))
        except LinkLost as error:
            logger.warning("platform: The VM list of a peer could not be read: {}", error)
        finally:
            self._fetching_list = -1


def answer_frame(frame: Frame, tables: TableStore, vm_lists: VmListStore) -> Frame | None:
    """The answer to a peer that asks for tables or the VM list; None for other questions."""
    if frame.tables_ask is not None:
        reply = tables.make_reply(frame.tables_ask)
        return Frame(version=WIRE_VERSION, tables_reply=reply) if reply is not None else None
    if frame.vm_list_ask is not None and vm_lists.vm_list is not None:
        newest = vm_lists.vm_list
        reply = VmListReply(frame.vm_list_ask.call, newest.revision, newest.text.encode())
        return Frame(version=WIRE_VERSION, vm_list_reply=reply)
    return None
