"""Stand-ins of the users' platform: the metadata store and a replica."""
