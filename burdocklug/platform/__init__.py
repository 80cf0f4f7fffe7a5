"""Names, formats and calls of the users' platform; what is decided is decided elsewhere."""
