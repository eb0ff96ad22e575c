"""Course of one caller request: admission, ticket, query, answer."""
