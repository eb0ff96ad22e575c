"""Handling of caller requests: admission, tickets, query execution and answers."""
