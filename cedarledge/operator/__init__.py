"""What operators write: the file of settings, checked into values."""
