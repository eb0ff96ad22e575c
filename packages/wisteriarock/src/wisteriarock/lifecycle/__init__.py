"""Life cycle of the process."""
