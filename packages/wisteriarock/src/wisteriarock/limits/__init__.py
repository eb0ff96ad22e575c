"""Rate limiting shared by several packages."""
