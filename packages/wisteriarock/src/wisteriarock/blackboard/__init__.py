"""The one typed state object of the process."""
