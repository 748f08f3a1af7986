"""Decision logic without I/O: takes messages and a clock, and returns decisions."""
