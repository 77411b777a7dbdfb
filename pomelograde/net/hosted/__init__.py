"""Tasks of an instance whose platform hosts configuration and membership."""
