"""Front end for the platform's protocol of text lines over TCP."""
