"""`pomelogradectl`, the command-line tool for operators."""
