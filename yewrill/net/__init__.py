"""Sockets: buffers, connections, the listener, destinations, discovery."""
