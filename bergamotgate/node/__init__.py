"""A node: one process of the system, assembled from its components."""

from bergamotgate.node.node import Node, NodeServices

__all__ = ["Node", "NodeServices"]
