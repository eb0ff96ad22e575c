"""Stand-in endpoints: many in one process, each with a listener, slots, holdings and faults."""
