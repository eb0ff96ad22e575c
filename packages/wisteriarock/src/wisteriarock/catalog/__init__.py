"""The configuration in force: routes, services and limits, replaced as a whole."""
