"""Request forwarding: a request lasts as long as its caller's connection."""
