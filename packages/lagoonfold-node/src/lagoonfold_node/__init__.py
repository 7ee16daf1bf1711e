"""The lagoonfold daemon: controllers around one blackboard, on one trio loop."""
