"""Operators' command line for wisteriarock."""
