"""Decoding of what other writers control: entries of the store, reports and messages.

Whatever goes wrong while one of them is read ends as one type of error, and an entry that can't be read
affects no other.
"""

import traceback
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from typing import Annotated, Generic, TypeVar

import msgspec

from bayglade.exceptions import BaygladeError, InvalidSettings
from bayglade.logs import rate_limited

MAX_INTEGER = 2**53
"""Largest integer that every JSON decoder reads exactly. It leaves room in 64 bits for sums."""

WHOLE_NUMBER = msgspec.Meta(ge=0, le=MAX_INTEGER)

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, WHOLE_NUMBER]
Number = Annotated[float, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Name = Annotated[str, msgspec.Meta(min_length=1)]
UnixMilliseconds = Annotated[int, msgspec.Meta(gt=0, le=MAX_INTEGER)]

MAX_DIGITS = 18
"""Digits of a decimal number that always fits into 64 bits."""
MAX_REASON_CHARACTERS = 300
TRACEBACK_FRAMES = -5
"""The innermost frames, which name the decoder that failed."""
UNEXPECTED_ERROR_LOGS_PER_SECOND = 0.2

DecodedT = TypeVar("DecodedT")

_log_unexpected_error = rate_limited(UNEXPECTED_ERROR_LOGS_PER_SECOND)


class DecodedRows(msgspec.Struct, Generic[DecodedT]):
    """Rows of a table by key, as far as they can be read."""

    found: dict[str, DecodedT]
    removed: list[str]
    invalid: dict[str, str]
    """Why each row that can't be read is invalid."""


def whole_number(text: str) -> int | None:
    """Parse the decimal digits of a number that fits into 64 bits.

    :param text: what another process sent.
    :return: the number; ``None`` if the text is anything else.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        return None
    return int(text)


def _as_invalid(error: Exception, what: str, step: str) -> InvalidSettings:
    """Return the error for a value that cannot be decoded; log a failure that no decoder should have."""
    if isinstance(error, InvalidSettings):
        return error
    if not isinstance(error, (msgspec.DecodeError, RecursionError, BaygladeError)):
        trace = "".join(traceback.format_exception(error, limit=TRACEBACK_FRAMES))
        _log_unexpected_error("ERROR", "decoder failed", what=what, trace=trace)
    reason = str(error)[:MAX_REASON_CHARACTERS] or type(error).__name__
    return InvalidSettings(f"{what}: {reason}", step=step)


@contextmanager
def reading(what: str, step: str) -> Iterator[None]:
    """Turn any error of a decoder into one type.

    :param what: a description of what is read, for the error message.
    :param step: the processing step, for the error.
    :raises InvalidSettings: whatever the decoder raised.
    """
    try:
        yield
    except InvalidSettings:
        raise
    except Exception as error:
        raise _as_invalid(error, what, step) from error


def decode_json(value: bytes | msgspec.Raw, kind: type[DecodedT], what: str, step: str) -> DecodedT:
    """Decode and validate JSON from another writer.

    :param value: the encoded value.
    :param kind: the required type.
    :param what: a description of the value, for the error message.
    :param step: the processing step, for the error.
    :raises InvalidSettings: if the value is malformed or has another type.
    """
    try:
        return msgspec.json.decode(value, type=kind)
    except Exception as error:
        raise _as_invalid(error, what, step) from error


def decode_each(
    rows: Mapping[str, msgspec.Raw | None], decode: Callable[[str, msgspec.Raw], DecodedT]
) -> DecodedRows[DecodedT]:
    """Decode rows one by one, so that none decides about the others.

    :param rows: rows by key; ``None`` for a row that was removed.
    :param decode: decodes the row of a key.
    """
    decoded: DecodedRows[DecodedT] = DecodedRows({}, [], {})
    for key, value in rows.items():
        if value is None:
            decoded.removed.append(key)
            continue
        try:
            decoded.found[key] = decode(key, value)
        except Exception as error:  # noqa: BLE001 - whatever a decoder raises, the row is invalid
            what = f"row {key[:MAX_REASON_CHARACTERS]}"
            decoded.invalid[key] = _as_invalid(error, what, "read").message
    return decoded
