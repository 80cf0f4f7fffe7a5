"""Tools of the repository itself."""
