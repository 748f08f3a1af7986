"""Direct steering: every instance sends requests straight to targets."""
