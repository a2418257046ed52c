"""Measurements of the policies in virtual time; deterministic."""
