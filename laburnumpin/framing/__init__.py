"""Where HTTP/1.1 messages end, and messages that readers may divide."""
