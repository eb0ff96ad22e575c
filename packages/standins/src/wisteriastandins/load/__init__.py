"""Open-loop load, checks of every answer, and the table of results."""
