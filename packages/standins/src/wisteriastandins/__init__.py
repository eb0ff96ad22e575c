"""Stand-ins for the systems that the tier talks to, and the load tool."""
