"""A serving system for model and application requests on reclaimable VMs."""
