"""What happened to each request, for operators."""
