"""Tests with fleets of real processes."""
