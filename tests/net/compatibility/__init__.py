"""Tests that two builds understand each other's messages and rows."""
