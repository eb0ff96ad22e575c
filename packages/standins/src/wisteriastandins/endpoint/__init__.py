"""Stand-in endpoints: one process runs many, each with its own listener, slots and faults."""
