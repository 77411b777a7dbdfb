"""The daemon: settings, composition root and entry point."""
