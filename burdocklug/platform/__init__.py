"""Adapter that translates the platform's names, formats and calls; it makes no decisions."""
