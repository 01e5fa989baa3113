"""The codecs before the core: the platform's protocol, and server-sent events for progress."""
