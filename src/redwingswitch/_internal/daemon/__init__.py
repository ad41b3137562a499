"""The entry daemon and the steering daemon, built around the decision modules."""
