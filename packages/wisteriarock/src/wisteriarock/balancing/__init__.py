"""Endpoint selection based on the latency and failures that this instance has observed."""
