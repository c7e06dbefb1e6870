"""The conformance suite of the QUIC front: stand-ins, a link that can be made bad, and numbered cases.

python -m aspensaddle.conformance [--quick] [--only WORD] [--json FILE] [--seed N]
"""
