"""Settings files for operators: YAML with the revision that the file was made from."""

import io
from typing import Any

import msgspec
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap
from ruamel.yaml.error import MarkedYAMLError, YAMLError

from bayglade import settings
from bayglade.exceptions import InvalidSettings
from bayglade.ids import Revision
from bayglade.settings import Tree

REVISION_PREFIX = "# revision: "
MAX_ALIASES = 100


class SettingsFile(msgspec.Struct):
    """A parsed settings file: its document, the settings tree and the revision it was made from."""

    document: dict[str, Any]
    tree: Tree
    base: Revision | None


def write(document: dict[str, Any], revision: Revision) -> str:
    """Format settings as YAML for editing.

    :param document: the settings.
    :param revision: the revision of the settings.
    :return: YAML with the revision in its first line.
    """
    yaml = YAML(typ="safe", pure=True)
    yaml.default_flow_style = False
    stream = io.StringIO()
    yaml.dump(document, stream)
    return f"{REVISION_PREFIX}{revision}\n{stream.getvalue()}"


def read(text: str, whole: bool = True) -> SettingsFile:
    """Parse and validate a settings file.

    :param text: the file's content, as YAML.
    :param whole: whether the file holds the whole tree, so that references between its parts are
        checked. In a part of the tree they may refer to something outside of it.
    :return: the parsed file.
    :raises InvalidSettings: if the file is invalid; the message names the field, and its line if known.
    """
    loaded = _load(text)
    try:
        tree = msgspec.convert(loaded, Tree)
        if whole:
            settings.check(tree)
    except (msgspec.ValidationError, InvalidSettings) as error:
        # This loader keeps line numbers but is slower, so it is used only after an error.
        lines = YAML(typ="rt", pure=True).load(text)
        raise InvalidSettings(_add_line_number(str(error), lines), step="check") from error
    document = msgspec.json.decode(settings.encode(tree))
    return SettingsFile(document, tree, _base_revision(text))


def _load(text: str) -> dict[str, Any]:
    if len(text.encode()) > settings.MAX_DOCUMENT_BYTES:
        raise InvalidSettings(f"the file exceeds {settings.MAX_DOCUMENT_BYTES} bytes", step="check")
    if text.count("*") > MAX_ALIASES and text.count("&"):
        raise InvalidSettings(f"the file has more than {MAX_ALIASES} aliases", step="check")
    try:
        loaded = YAML(typ="safe", pure=True).load(text)
    except MarkedYAMLError as error:
        line = f"line {error.problem_mark.line + 1}: " if error.problem_mark else ""
        raise InvalidSettings(f"{line}{error.problem}", step="check") from error
    except (YAMLError, RecursionError) as error:
        raise InvalidSettings(str(error), step="check") from error
    if not isinstance(loaded, dict):
        raise InvalidSettings("the file must contain a mapping", step="check")
    return loaded


def _base_revision(text: str) -> Revision | None:
    first = text.split("\n", 1)[0]
    number = first.removeprefix(REVISION_PREFIX)
    return Revision(int(number)) if first != number and number.strip().isdigit() else None


def _add_line_number(message: str, loaded: CommentedMap) -> str:
    """Prefix an error message with the line of the field that it names."""
    path = _field_path(message)
    line: int | None = None
    node: object = loaded
    for name in path:
        if not isinstance(node, CommentedMap) or name not in node:
            break
        line = node.lc.key(name)[0] + 1
        node = node[name]
    return f"line {line}: {message}" if line is not None else message


def _field_path(message: str) -> list[str]:
    """Extract the field path from an error message of msgspec or of the checks in bayglade.settings."""
    path = message.rpartition("`$.")[2].rstrip("`") if "`$." in message else message.partition(":")[0]
    return path.replace("[...]", "").split(".")
