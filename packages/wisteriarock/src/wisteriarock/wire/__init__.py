"""HTTP client channels, each with a single aiosonic connection."""
