"""HTTP client with a single aiosonic connection whose state is visible to the user."""
