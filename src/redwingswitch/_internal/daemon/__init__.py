"""The entry daemon: a pipeline of filters around the decision parts."""
