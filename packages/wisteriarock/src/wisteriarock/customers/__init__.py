"""Customers: which one a request belongs to, and how much of its allotment is used."""
