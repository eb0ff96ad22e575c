"""Checked settings of an entry instance."""
