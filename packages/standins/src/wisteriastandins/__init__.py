"""Stand-ins for the systems around the tier, and the load tool."""
