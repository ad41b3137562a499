"""Adapter to the users' platform: it only translates between their wire and the models.

``packets`` decodes and encodes flow packets, ``entries`` the values that operators and backend
servers keep in the platform's store, and ``store`` speaks the store's protocol.
"""
