"""Stand-in platform: the key-value service and the list of instances."""
