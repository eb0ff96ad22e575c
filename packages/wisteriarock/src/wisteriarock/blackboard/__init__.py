"""State shared by the controllers of the process."""
