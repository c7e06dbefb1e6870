"""Front ends, one for each protocol that clients use. A front end uses the core and never another front end."""
