"""Event counters for the metrics endpoint, by name and label."""

from __future__ import annotations


class Counters:
    """Counts events such as refusals, retries and anomalies."""

    __slots__ = ("_values",)

    def __init__(self) -> None:
        self._values: dict[tuple[str, str], int] = {}

    def increment(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add `amount` to the counter with this name and label."""
        key = (name, label)
        self._values[key] = self._values.get(key, 0) + amount

    def value(self, name: str, label: str = "") -> int:
        """Return the value of a counter, 0 when it was never incremented."""
        return self._values.get((name, label), 0)

    def total(self, name: str) -> int:
        """Return the sum of a counter over its labels."""
        total = 0
        for (counter_name, _), value in self._values.items():
            if counter_name == name:
                total += value
        return total

    def items(self) -> list[tuple[str, str, int]]:
        """Return (name, label, value) of every counter, sorted."""
        rows = []
        for (name, label), value in self._values.items():
            rows.append((name, label, value))
        return sorted(rows)
