"""Commands of the command-line programs, one module each, imported when they are run."""
