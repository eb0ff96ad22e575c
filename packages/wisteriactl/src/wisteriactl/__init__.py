"""wisteriactl."""
