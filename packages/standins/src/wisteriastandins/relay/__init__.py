"""TCP relay that puts delay and jitter on links and makes them fail."""
