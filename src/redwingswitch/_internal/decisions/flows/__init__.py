"""Steering of sprayed flows by lookup tables and flow records."""
