"""Stand-ins for the store and the endpoints of the users' platform, which speak its protocol."""
