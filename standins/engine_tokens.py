"""The tokens that stand-in engines generate, for tests to compute the expected answer."""

import hashlib


def token_text(model: str, version: str, prompt: str, index: int) -> str:
    """Return the token at an index; it depends on all arguments."""
    seed = f"{model}|{version}|{prompt}|{index}".encode()
    return f"{hashlib.sha256(seed).hexdigest()[:6]}.{index} "
