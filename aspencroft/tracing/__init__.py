"""Request traces and metric samples, for operators."""
