"""Query fan-out, hedging, retries and merging of replies."""
