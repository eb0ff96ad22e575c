"""One HTTP connection by aiosonic, with what its users must know about it."""
