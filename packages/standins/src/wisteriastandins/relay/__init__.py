"""TCP relay that adds delay and jitter to links and injects failures."""
