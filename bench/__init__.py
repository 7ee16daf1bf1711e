"""Load and experiment tools; each command ends by itself."""
