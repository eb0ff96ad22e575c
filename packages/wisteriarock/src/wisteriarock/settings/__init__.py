"""Settings of an entry instance."""
