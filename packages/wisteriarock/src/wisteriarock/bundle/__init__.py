"""The operators' configuration bundle: format, checks, signatures and distribution."""
