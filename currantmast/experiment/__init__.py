"""Load generation, recorded histories and their checks."""
