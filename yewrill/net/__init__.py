"""Networking: connections and their buffers, the client listener, the worker client, discovery."""
