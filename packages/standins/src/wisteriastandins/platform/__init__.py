"""Stand-in for the platform: its key-value service and its list of instances."""
