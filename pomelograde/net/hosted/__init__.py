"""Tasks of an instance on a platform that stores configuration and membership."""
