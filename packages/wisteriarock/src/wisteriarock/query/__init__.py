"""Fan-out of one request, hedging, retries and merging."""
