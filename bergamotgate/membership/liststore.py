"""Stores the VM list that is in force on this process."""

from collections.abc import Callable

from loguru import logger

from bergamotgate.config.contentcheck import ContentCheck
from bergamotgate.config.rejections import Rejections
from bergamotgate.config.service import PublishedVmList
from bergamotgate.errors import VmListRejected
from bergamotgate.membership.vmlist import VmList, read_vm_list
from bergamotgate.metrics import Metrics
from bergamotgate.revision import NOTHING, History, Position, log_new_era
from bergamotgate.wire.generated.ttypes import RevisionMark
from bergamotgate.wire.marks import era_field, position_of

__all__ = ["VmListStore"]


class VmListStore:
    """Holds the accepted VM list with the highest position; ignores lower ones.

    Attributes:
        position: Position in force.
        vm_list: The list in force, or None.
    """

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._listeners: list[Callable[[VmList], None]] = []
        self._rejections = Rejections()
        self._content = ContentCheck()
        self.position = NOTHING
        self.vm_list: VmList | None = None

    @property
    def revision(self) -> int:
        """Revision in force; -1 if there is none."""
        return self.position.revision

    @property
    def mark(self) -> RevisionMark:
        """What datagrams announce while a list is in force."""
        return RevisionMark(self.revision, self.vm_list.digest, era_field(self.position))

    @property
    def seen(self) -> Position:
        """The position in force, or the last rejected one above it."""
        return max(self.position, self.last_rejected or NOTHING)

    @property
    def last_rejected(self) -> Position | None:
        """The last position offered, if it is a rejected one."""
        return self._rejections.last

    @property
    def awaits_correction(self) -> bool:
        """Whether the newest position offered was rejected, or a peer holds other content of it."""
        return self.seen > self.position or self._content.in_doubt

    def on_change(self, listener: Callable[[VmList], None]) -> None:
        """Register a callback for each list that comes into force."""
        self._listeners.append(listener)

    def offer(self, revision: int, text: str, era: int = 0) -> bool:
        """Validate a published list; return whether it came into force."""
        position = Position(History(era=era), revision)
        if position <= self.position or self._rejections.has(position, text):
            return False
        try:
            vm_list = read_vm_list(revision, text)
        except VmListRejected as error:
            self._rejections.add(position, text)
            self._reject(revision, error)
            return False
        log_new_era("VM list", self.position, position)
        self._put_in_force(position, vm_list)
        return True

    def offer_of_service(self, published: PublishedVmList) -> bool:
        """Offer what the service states; it decides on the content of the revision in force."""
        if published.position != self.position:
            return self.offer(published.revision, published.text, published.era)
        if not self._content.is_new(self.position, published.text):
            return False
        try:
            vm_list = read_vm_list(published.revision, published.text)
        except VmListRejected as error:
            self._reject(published.revision, error)
            return False
        if vm_list.digest == self.vm_list.digest:
            return False
        logger.warning("platform: The service has another list of revision {}.", self.revision)
        self._put_in_force(self.position, vm_list)
        return True

    def compare(self, mark: RevisionMark) -> None:
        """Note that a peer holds other content of the position in force; the service decides."""
        if self.vm_list is None or position_of(mark) != self.position:
            return
        if mark.digest != self.vm_list.digest:
            self._content.in_doubt = True

    def _put_in_force(self, position: Position, vm_list: VmList) -> None:
        self._rejections.last = None
        self._content.in_doubt = False
        self.position = position
        self.vm_list = vm_list
        logger.info(
            "platform: Revision {} of the VM list is in force with {} VMs.",
            position.revision,
            len(vm_list.vm_by_name),
        )
        for listener in self._listeners:
            listener(vm_list)

    def _reject(self, revision: int, error: VmListRejected) -> None:
        self._metrics.tables_rejected.labels("vm_list").inc()
        logger.error("platform: Revision {} of the VM list is rejected: {}", revision, error)
