"""The cases, in modules by document and section."""
