"""The first front: the platform's lines of text over TCP. Modules go by peer."""
