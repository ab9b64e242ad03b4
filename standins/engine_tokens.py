"""The tokens that the stand-in engine makes, so that tests know the right answer."""

import hashlib


def token_text(model: str, version: str, prompt: str, index: int) -> str:
    """Return the one right token at an index, marked by all that it depends on."""
    seed = f"{model}|{version}|{prompt}|{index}".encode()
    return f"{hashlib.sha256(seed).hexdigest()[:6]}.{index} "
