"""Program that a hosting platform runs in the repository root to start an instance."""

from pomelograde.daemon import hosted

hosted.main()
