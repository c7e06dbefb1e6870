"""The ways that clients come in. Fronts use the core and never each other."""
