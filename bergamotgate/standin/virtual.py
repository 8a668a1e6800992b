"""An event loop on virtual time in which the tasks of one VM can be stopped and killed."""

import asyncio
import contextvars
import selectors
from collections import defaultdict
from collections.abc import Callable, Coroutine
from typing import Any

__all__ = ["VirtualLoop", "run_virtual", "vm_context"]

CURRENT_VM: contextvars.ContextVar[str] = contextvars.ContextVar("CURRENT_VM", default="")


class Deadlock(RuntimeError):
    """Nothing is left that could ever happen."""


class _VirtualSelector(selectors.DefaultSelector):
    """Passes virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise Deadlock("no timer is left")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order without waiting for them.

    A callback belongs to the VM in whose context it was scheduled. While that VM is stopped its
    callbacks are held back, as with SIGSTOP; those of a killed VM are never let go.

    Attributes:
        paused: VMs that are stopped now.
    """

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)
        self.paused: set[str] = set()
        self._held_by_vm: dict[str, list[Callable[[], None]]] = defaultdict(list)

    def time(self) -> float:
        """Virtual seconds since the start."""
        return self._virtual.now

    def pause_vm(self, vm: str) -> None:
        """Hold back everything of a VM."""
        self.paused.add(vm)

    def resume_vm(self, vm: str) -> None:
        """Let a stopped VM go on with what piled up."""
        self.paused.discard(vm)
        for release in self._held_by_vm.pop(vm, []):
            release()

    def kill_vm(self, vm: str) -> None:
        """Let nothing of a VM ever run again."""
        self.paused.add(vm)

    def cancel_all_tasks(self) -> None:
        """Cancel every task that is left, those of stopped and killed VMs too."""
        while tasks := asyncio.all_tasks(self):
            for task in tasks:
                task.cancel()
            for vm in list(self.paused):
                self.resume_vm(vm)
            self.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))

    def call_soon(
        self, callback: Callable, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback, held back while its VM is stopped."""
        context = context if context is not None else contextvars.copy_context()
        vm = context.get(CURRENT_VM, "")
        if not vm:
            return super().call_soon(callback, *args, context=context)
        box: list[asyncio.Handle] = []
        handle = super().call_soon(self._gate, vm, box, context, callback, args, context=context)
        box.append(handle)
        return handle

    def call_at(
        self,
        when: float,
        callback: Callable,
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback for later, held back while its VM is stopped."""
        context = context if context is not None else contextvars.copy_context()
        vm = context.get(CURRENT_VM, "")
        if not vm:
            return super().call_at(when, callback, *args, context=context)
        box: list[asyncio.Handle] = []
        handle = super().call_at(
            when, self._gate, vm, box, context, callback, args, context=context
        )
        box.append(handle)
        return handle

    def _gate(
        self,
        vm: str,
        box: list[asyncio.Handle],
        context: contextvars.Context,
        callback: Callable,
        args: tuple,
    ) -> None:
        if box[0].cancelled():
            return
        if vm not in self.paused:
            callback(*args)
            return

        def release() -> None:
            gate = super(VirtualLoop, self).call_soon
            gate(self._gate, vm, box, context, callback, args, context=context)

        self._held_by_vm[vm].append(release)


def vm_context(vm: str) -> contextvars.Context:
    """A context whose tasks belong to a VM."""
    context = contextvars.copy_context()
    context.run(CURRENT_VM.set, vm)
    return context


def run_virtual(main: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine function on a virtual loop and return its result."""
    loop = VirtualLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(main())
    finally:
        loop.cancel_all_tasks()
        asyncio.set_event_loop(None)
        loop.close()
