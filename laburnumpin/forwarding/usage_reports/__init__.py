"""Usage of customers: counted by entries, reported by the lease holder."""
