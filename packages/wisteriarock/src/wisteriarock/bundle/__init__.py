"""Check, sign, verify and distribute the bundle, the operators' signed configuration."""
