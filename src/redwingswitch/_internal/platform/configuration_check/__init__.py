"""Check of the configuration that operators write to the platform's store.

A finding is an error if the hosts reject the configuration or cannot use a value of it, and a
warning if they use it in a way that the operator may not expect.
"""
