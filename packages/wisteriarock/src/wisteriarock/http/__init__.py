"""HTTP/1.1 server for callers and client for endpoints and the store, on asyncio and httptools."""
