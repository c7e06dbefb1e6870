"""The conformance suite of the QUIC front end: stand-in clients and servers, lossy links, and numbered cases.

python -m aspensaddle.conformance [--quick] [--memory] [--only WORD] [--json FILE] [--seed N] [--jobs N]
"""
