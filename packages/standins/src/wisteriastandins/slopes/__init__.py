"""How the costs of an entry instance grow with the sizes that it meets."""
