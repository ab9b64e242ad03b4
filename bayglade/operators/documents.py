"""Settings as operators write them: YAML files with the revision they were read at."""

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

REVISION_MARK = "# revision: "
MAX_ALIASES = 100


class Written(msgspec.Struct):
    """A settings file: the document, its tree and the revision it was made from."""

    document: dict[str, Any]
    tree: Tree
    base: Revision | None


def write(document: dict[str, Any], revision: Revision) -> str:
    """Write a document as an operator edits it.

    :param document: the settings.
    :param revision: the revision they were read at.
    :return: YAML, the revision in its first line.
    """
    yaml = YAML(typ="safe", pure=True)
    yaml.default_flow_style = False
    stream = io.StringIO()
    yaml.dump(document, stream)
    return f"{REVISION_MARK}{revision}\n{stream.getvalue()}"


def read(text: str, whole: bool = True) -> Written:
    """Read and check a settings file.

    :param text: YAML.
    :param whole: check the rules between parts; a part of a tree cannot be
        checked so, since what it names may lie outside of it.
    :return: the checked file.
    :raises InvalidSettings: naming the field, and its line where it is known.
    """
    loaded = _load(text)
    try:
        tree = msgspec.convert(loaded, Tree)
        if whole:
            settings.check(tree)
    except (msgspec.ValidationError, InvalidSettings) as error:
        # The slower loader that keeps line numbers is needed only here.
        lines = YAML(typ="rt", pure=True).load(text)
        raise InvalidSettings(_with_line(str(error), lines), step="check") from error
    document = msgspec.json.decode(settings.encode(tree))
    return Written(document, tree, _base(text))


def _load(text: str) -> dict[str, Any]:
    if len(text.encode()) > settings.MAX_DOCUMENT_BYTES:
        raise InvalidSettings(f"above {settings.MAX_DOCUMENT_BYTES} bytes", step="check")
    if text.count("*") > MAX_ALIASES and text.count("&"):
        raise InvalidSettings(f"more than {MAX_ALIASES} aliases", step="check")
    try:
        loaded = YAML(typ="safe", pure=True).load(text)
    except MarkedYAMLError as error:
        line = f"line {error.problem_mark.line + 1}: " if error.problem_mark else ""
        raise InvalidSettings(f"{line}{error.problem}", step="check") from error
    except (YAMLError, RecursionError) as error:
        raise InvalidSettings(str(error), step="check") from error
    if not isinstance(loaded, dict):
        raise InvalidSettings("the file must hold a mapping", step="check")
    return loaded


def _base(text: str) -> Revision | None:
    first = text.split("\n", 1)[0]
    number = first.removeprefix(REVISION_MARK)
    return Revision(int(number)) if first != number and number.strip().isdigit() else None


def _with_line(message: str, loaded: CommentedMap) -> str:
    """Put the line of the field that a message names in front of it."""
    path = _path_in(message)
    line: int | None = None
    node: object = loaded
    for name in path:
        if not isinstance(node, CommentedMap) or name not in node:
            break
        line = node.lc.key(name)[0] + 1
        node = node[name]
    return f"line {line}: {message}" if line is not None else message


def _path_in(message: str) -> list[str]:
    """Find the field path in a message of msgspec or of the settings' own checks."""
    path = message.rpartition("`$.")[2].rstrip("`") if "`$." in message else message.partition(":")[0]
    return path.replace("[...]", "").split(".")
