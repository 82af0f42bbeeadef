"""Bound the memory for request bodies, and have freed memory returned."""

from cowslipshelf_host.internal.allocator import return_freed_memory
from cowslipshelf_host.internal.body_memory import BodyMemory

__all__ = ["BodyMemory", "return_freed_memory"]
