"""What a process takes from its machine: environment, clocks, supervised tasks, checked JSON input."""
