"""The operators' command line of lagoonfold."""
