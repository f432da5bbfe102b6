"""Stand-ins for the platform, model engines and plain services.

They serve the HTTP APIs that entries call, with simulated work and injected
faults, for tests and demonstrations.
"""
