"""Compares the router with a bare pass-through, side by side."""
