"""Decoding and checking of JSON bodies."""
