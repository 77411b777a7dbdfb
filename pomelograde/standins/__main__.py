"""Entry point of ``python -m pomelograde.standins``."""

from pomelograde.standins import main

if __name__ == "__main__":
    main.main(prog_name="python -m pomelograde.standins")
