"""In-memory object store."""

from __future__ import annotations


class ObjectStore:
    """Objects by key."""

    __slots__ = ("_objects",)

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    def put(self, key: str, body: bytes) -> None:
        """Write or replace an object."""
        self._objects[key] = body

    def get(self, key: str) -> bytes | None:
        """Return the content of an object, None when it is missing."""
        return self._objects.get(key)

    def delete(self, key: str) -> None:
        """Delete an object if it exists."""
        self._objects.pop(key, None)

    def keys(self, prefix: str) -> tuple[str, ...]:
        """Return the keys with a prefix, sorted."""
        return tuple(
            sorted(key for key in self._objects if key.startswith(prefix))
        )
