"""Measurements of the policies, in virtual time; the same on every run."""
