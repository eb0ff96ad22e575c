"""Maintains the directory of endpoints from the entries they register in the store."""
