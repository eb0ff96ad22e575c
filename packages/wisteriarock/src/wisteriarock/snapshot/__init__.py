"""Selection of the snapshot that a query reads."""
