"""Report on error budgets and burn rates.

The error budget of a service is the ratio of bad events that its objective allows, over the budget
window. A burn rate of 1 uses the budget up exactly by the end of that window.
"""
