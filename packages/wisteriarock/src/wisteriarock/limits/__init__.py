"""Rate limits that several concerns share."""
