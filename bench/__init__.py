"""Benchmarks in virtual time: the product's decisions against fake endpoints and links."""
