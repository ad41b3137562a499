"""Steering of flows whose packets carry a cookie that identifies the backend server.

The cookie is a field of every packet. In contrast to ``decisions.flows``, hosts need no shared
state to send the packets of an open flow to the same server.
"""
