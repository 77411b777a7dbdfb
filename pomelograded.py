"""Starts an instance on a hosting platform, from the repository's root."""

from pomelograde.daemon import hosted

hosted.main()
