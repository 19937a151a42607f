"""Documents of the platform that all processes hold."""
