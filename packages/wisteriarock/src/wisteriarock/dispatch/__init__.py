"""Request dispatch: sends legs to endpoints, hedges and retries them, and merges the parts."""
