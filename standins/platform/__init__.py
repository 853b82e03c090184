"""Stand-ins for the users' platform: the metadata store and a replica."""
