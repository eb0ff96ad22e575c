"""Connections, queues and life cycles of the endpoints that this instance holds."""
