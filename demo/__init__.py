"""A working day in miniature on both deployments, with the promises checked at the end."""
