"""One whole process of the system, put together from its parts."""

from bergamotgate.node.node import Node, NodeServices

__all__ = ["Node", "NodeServices"]
