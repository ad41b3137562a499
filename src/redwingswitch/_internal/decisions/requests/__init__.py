"""Requests that hosts collect, dispatch and answer, at most once where they must not repeat."""
