"""Global traffic steering."""
