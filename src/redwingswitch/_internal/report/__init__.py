"""Report on error budgets and burn rates."""
