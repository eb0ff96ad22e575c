"""Choice of the one snapshot that a request is served from."""
