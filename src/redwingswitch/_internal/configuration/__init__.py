"""The configuration of a fleet: parsing, checking, comparing and storing it.

Operators write it as one TOML file, which declares the failure domains, entry hosts, services and
backend servers. ``redwingswitchctl apply`` stores the file in the key-value service as a document
with a revision number. A stored file counts as accepted; it is in force on an entry host that has
read and applied it.
"""
