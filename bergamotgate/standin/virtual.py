"""Event loop on virtual time that can pause, resume and kill the tasks of a simulated VM."""

import asyncio
import contextvars
import math
import selectors
from collections import defaultdict
from collections.abc import Callable, Coroutine
from typing import Any

__all__ = ["VirtualLoop", "run_virtual", "vm_context"]

CURRENT_VM: contextvars.ContextVar[str] = contextvars.ContextVar("CURRENT_VM", default="")


class Deadlock(RuntimeError):
    """No callback is scheduled, so the loop would wait forever."""


class _VirtualSelector(selectors.DefaultSelector):
    """Advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise Deadlock("no callback is scheduled")
        # Each pass takes time, or timers that run within the loop's resolution never end.
        self.now = max(self.now + timeout, math.nextafter(self.now, math.inf))
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order of their time without waiting for them.

    A callback belongs to the VM in whose context it was scheduled. While that VM is paused, its
    callbacks are deferred, as with SIGSTOP; callbacks of a killed VM never run.

    Attributes:
        paused: VMs that are paused or killed.
    """

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)
        self.paused: set[str] = set()
        self._deferred_by_vm: dict[str, list[Callable[[], None]]] = defaultdict(list)

    def time(self) -> float:
        """Virtual seconds since the loop was created."""
        return self._virtual.now

    def pause_vm(self, vm: str) -> None:
        """Defer all callbacks of a VM until it is resumed."""
        self.paused.add(vm)

    def resume_vm(self, vm: str) -> None:
        """Resume a paused VM, starting with its deferred callbacks."""
        self.paused.discard(vm)
        for reschedule in self._deferred_by_vm.pop(vm, []):
            reschedule()

    def kill_vm(self, vm: str) -> None:
        """Stop running callbacks of a VM for good."""
        self.paused.add(vm)

    def cancel_all_tasks(self) -> None:
        """Cancel all remaining tasks, including those of paused and killed VMs."""
        while tasks := asyncio.all_tasks(self):
            for task in tasks:
                task.cancel()
            for vm in list(self.paused):
                self.resume_vm(vm)
            self.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))

    def call_soon(
        self, callback: Callable, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback; it is deferred while its VM is paused."""
        context = context if context is not None else contextvars.copy_context()
        vm = context.get(CURRENT_VM, "")
        if not vm:
            return super().call_soon(callback, *args, context=context)
        handles: list[asyncio.Handle] = []
        handle = super().call_soon(
            self._run_or_defer, vm, handles, context, callback, args, context=context
        )
        handles.append(handle)
        return handle

    def call_at(
        self,
        when: float,
        callback: Callable,
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a time; it is deferred while its VM is paused."""
        context = context if context is not None else contextvars.copy_context()
        vm = context.get(CURRENT_VM, "")
        if not vm:
            return super().call_at(when, callback, *args, context=context)
        handles: list[asyncio.Handle] = []
        handle = super().call_at(
            when, self._run_or_defer, vm, handles, context, callback, args, context=context
        )
        handles.append(handle)
        return handle

    def _run_or_defer(
        self,
        vm: str,
        handles: list[asyncio.Handle],
        context: contextvars.Context,
        callback: Callable,
        args: tuple,
    ) -> None:
        if handles[0].cancelled():
            return
        if vm not in self.paused:
            callback(*args)
            return

        def reschedule() -> None:
            call_soon = super(VirtualLoop, self).call_soon
            call_soon(self._run_or_defer, vm, handles, context, callback, args, context=context)

        self._deferred_by_vm[vm].append(reschedule)


def vm_context(vm: str) -> contextvars.Context:
    """A context whose callbacks and tasks belong to a VM."""
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
