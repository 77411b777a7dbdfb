"""Lets ``python -m pomelograde.standins`` run the stand-ins."""

from pomelograde.standins import main

if __name__ == "__main__":
    main.main(prog_name="python -m pomelograde.standins")
