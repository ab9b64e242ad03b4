"""Differences between JSON documents as JSON merge patches (RFC 7396)."""

from typing import Any

JsonObject = dict[str, Any]
"""A decoded JSON object; patches have no fixed schema."""


def diff(old: JsonObject, new: JsonObject) -> JsonObject:
    """Compute the patch that turns one document into another.

    :param old: the document before.
    :param new: the document after; must contain no nulls.
    :return: the patch; a null value removes a member.
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
    """Apply a patch to a copy of a document.

    :param document: the document before; it is not modified.
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


def touched_paths(patch: JsonObject, prefix: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    """List the paths that a patch sets or removes.

    :param patch: a merge patch.
    :param prefix: the path of the patched object.
    :return: the path of each leaf of the patch.
    """
    paths: list[tuple[str, ...]] = []
    for key, value in patch.items():
        path = (*prefix, key)
        if isinstance(value, dict) and value:
            paths.extend(touched_paths(value, path))
        else:
            paths.append(path)
    return paths
