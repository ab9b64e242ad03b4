"""Differences between two JSON documents, as JSON merge patches (RFC 7396)."""

from typing import Any

JsonObject = dict[str, Any]
"""A JSON object as the standard library reads it; patches have no fixed shape."""


def diff(old: JsonObject, new: JsonObject) -> JsonObject:
    """Make the patch that turns one document into another.

    :param old: the document before.
    :param new: the document after; must hold no nulls.
    :return: the patch; a null removes a member.
    """
    patch: JsonObject = {key: None for key in old if key not in new}
    for key, value in new.items():
        before = old.get(key)
        if isinstance(value, dict) and isinstance(before, dict):
            inner = diff(before, value)
            if inner:
                patch[key] = inner
        elif key not in old or before != value:
            patch[key] = value
    return patch


def apply(document: JsonObject, patch: JsonObject) -> JsonObject:
    """Make the document that a patch leads to; the input is not changed.

    :param document: the document before.
    :param patch: a merge patch.
    :return: the document after.
    """
    result = dict(document)
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        elif isinstance(value, dict):
            inner = result.get(key)
            result[key] = apply(inner if isinstance(inner, dict) else {}, value)
        else:
            result[key] = value
    return result


def touched(patch: JsonObject, prefix: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    """List the paths that a patch sets or removes.

    :param patch: a merge patch.
    :param prefix: where the patch applies.
    :return: the path of each leaf of the patch.
    """
    paths: list[tuple[str, ...]] = []
    for key, value in patch.items():
        path = (*prefix, key)
        if isinstance(value, dict) and value:
            paths.extend(touched(value, path))
        else:
            paths.append(path)
    return paths
