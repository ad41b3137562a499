"""Adapter for the users' platform: translates between its wire formats and the models.

``packets`` decodes and encodes flow packets, ``entries`` the values that operators and backend
servers keep in the platform's store, and ``store`` speaks the store's protocol.
"""
