"""Simulates callers of a virtual fleet, using the library's own ``Caller``."""

import asyncio

from bergamotgate.caller import Caller, CallerMessage, CallerReply, NoAddress, NoReply
from bergamotgate.front.handler import CallerRequest
from bergamotgate.standin.fleet import Fleet

__all__ = ["FleetCaller", "FleetTransport"]

CALLER_DELAY_S = 0.001


class FleetTransport:
    """Caller transport that delivers messages to VMs of a virtual fleet.

    Attributes:
        fleet: The fleet.
        vm_by_http: VMs by the ``ip:port`` that callers use.
    """

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.vm_by_http = {vm.http: vm for vm in fleet.vms}

    async def fetch(self, address: str, message: CallerMessage) -> CallerReply:
        """Send a message to a VM of the fleet.

        Raises:
            NoReply: The VM is down or did not answer in time.
        """
        vm = self.vm_by_http[address]
        await asyncio.sleep(CALLER_DELAY_S)
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
        response = asyncio.ensure_future(self.fleet.send_request(vm, request))
        await asyncio.wait({response}, timeout=message.timeout_s)
        if not response.done() or response.cancelled():
            raise NoReply(address)
        answer = response.result()
        if answer is None:
            raise NoReply(address)
        await asyncio.sleep(CALLER_DELAY_S)
        return CallerReply(answer.status, answer.headers, answer.body)


class FleetCaller(Caller):
    """A caller of a virtual fleet, which requests addresses without HTTP."""

    async def addresses(self) -> dict:
        """Request the addresses to use from the VMs of the fleet.

        Raises:
            NoAddress: No VM returned any address.
        """
        fleet = self._transport.fleet
        for address in self._candidate_addresses():
            vm = self._transport.vm_by_http[address]
            await asyncio.sleep(CALLER_DELAY_S)
            if vm.node is None or vm.context_name in fleet.loop.paused:
                continue
            answer = fleet.addresses_of(vm, self._zone)
            if answer is not None and answer["addresses"]:
                await asyncio.sleep(CALLER_DELAY_S)
                return answer
        raise NoAddress(self._known)
