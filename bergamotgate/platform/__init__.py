"""What the platform gives: a configuration service and a VM list, both only read."""

from bergamotgate.platform.http import HttpConfigurationService, HttpVmListService
from bergamotgate.platform.memory import MemoryConfigurationService, MemoryVmListService
from bergamotgate.platform.service import (
    ConfigurationService,
    PublishedTables,
    PublishedVmList,
    VmListService,
)
from bergamotgate.platform.vmlist import ListedVm, VmList, VmStanding, read_vm_list

__all__ = [
    "ConfigurationService",
    "HttpConfigurationService",
    "HttpVmListService",
    "ListedVm",
    "MemoryConfigurationService",
    "MemoryVmListService",
    "PublishedTables",
    "PublishedVmList",
    "VmList",
    "VmListService",
    "VmStanding",
    "read_vm_list",
]
