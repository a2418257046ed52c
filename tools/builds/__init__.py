"""What other builds write and read, proved with their own code.

``python -m tools.builds exchange BUILD`` starts a process with the code in BUILD, a
work tree of another commit, and one with the present code.  Each calls the other over
the link between hosts, with one example of each message, and reads the documents that
the other stores.  It prints a line for each, and fails if one was not understood.

``PYTHONPATH=BUILD/src:. python -m tools.builds record COMMIT FILE`` writes the examples
as the code in BUILD does; ``tests/recorded`` holds those of earlier landings.

``python -m tools.builds scratch COMMIT DIRECTORY`` makes a clone for trials on the
bench, in which all processes of the first start run the code of COMMIT.
"""
