"""Callers of a virtual fleet, with the same rules as real ones."""

import asyncio

from bergamotgate.caller import Caller, CallerMessage, CallerReply, NoAddress, NoReply
from bergamotgate.front.handler import CallerRequest
from bergamotgate.standin.fleet import Fleet

__all__ = ["FleetCaller", "FleetTransport"]

CALLER_WAY_S = 0.001


class FleetTransport:
    """Carries callers' messages into a virtual fleet.

    Attributes:
        fleet: The fleet.
        vm_by_http: Its VMs by callers' address.
    """

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.vm_by_http = {vm.http: vm for vm in fleet.vms}

    async def fetch(self, address: str, message: CallerMessage) -> CallerReply:
        """Send a message to a VM of the fleet."""
        vm = self.vm_by_http[address]
        await asyncio.sleep(CALLER_WAY_S)
        if vm.node is None:
            raise NoReply(address)
        request = CallerRequest(
            message.method,
            message.path,
            message.body,
            message.headers.get("X-Deadline-Ms"),
            message.headers.get("X-Key"),
            message.headers.get("X-Sending") == "1",
        )
        asked = asyncio.ensure_future(self.fleet.ask(vm, request))
        await asyncio.wait({asked}, timeout=message.timeout_s)
        if not asked.done() or asked.cancelled():
            raise NoReply(address)
        answer = asked.result()
        if answer is None:
            raise NoReply(address)
        await asyncio.sleep(CALLER_WAY_S)
        return CallerReply(answer.status, answer.headers, answer.body)


class FleetCaller(Caller):
    """A caller in a virtual fleet, where the question for addresses needs no HTTP."""

    async def addresses(self) -> dict:
        """Ask a VM of the fleet."""
        fleet = self._transport.fleet
        for address in self._candidate_addresses():
            vm = self._transport.vm_by_http[address]
            await asyncio.sleep(CALLER_WAY_S)
            if vm.node is None or vm.context_name in fleet.loop.stopped:
                continue
            answer = fleet.addresses_of(vm, self._zone)
            if answer is not None and answer["addresses"]:
                await asyncio.sleep(CALLER_WAY_S)
                return answer
        raise NoAddress(self._known)
