"""The list of runners: what it says, the number each has, and discovery, which tells it."""
