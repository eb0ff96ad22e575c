"""Traffic between entry instances."""
