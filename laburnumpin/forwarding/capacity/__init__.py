"""What upstreams can do, as measured from their answers."""
