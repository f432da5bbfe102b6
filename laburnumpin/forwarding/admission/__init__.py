"""Which callers' connections and bytes an entry takes on, within its VM."""
