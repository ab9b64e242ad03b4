"""Lookup of API keys: the client accounts and operators of the settings in force."""

import hashlib

import msgspec

from bayglade.exceptions import Unauthenticated
from bayglade.ids import AccountName, GroupPath
from bayglade.settings import Tree


class AccountHolder(msgspec.Struct, frozen=True):
    """The client account that a key belongs to, and its group."""

    account: AccountName
    group: GroupPath


class OperatorHolder(msgspec.Struct, frozen=True):
    """The operator that a key belongs to."""

    name: str
    subtree: GroupPath


class Directory:
    """The keys of one revision, by their SHA-256."""

    def __init__(self, tree: Tree) -> None:
        self.accounts = {a.key_sha256: AccountHolder(n, a.group) for n, a in tree.accounts.items()}
        self.operators = {o.key_sha256: OperatorHolder(n, o.subtree) for n, o in tree.operators.items()}

    def __repr__(self) -> str:
        return f"<Directory {len(self.accounts)} accounts, {len(self.operators)} operators>"

    def account(self, key: str) -> AccountHolder:
        """Find the client account of a key.

        :param key: what the caller sent; the empty key belongs to nobody.
        :return: account and group.
        :raises Unauthenticated: when no account has this key.
        """
        holder = self.accounts.get(_sha256(key)) if key else None
        if holder is None:
            raise Unauthenticated("no client account has this key", step="authenticate", peer="caller")
        return holder

    def operator(self, key: str) -> OperatorHolder:
        """Find the operator of a key.

        :param key: what the operator's program sent.
        :return: name and subtree.
        :raises Unauthenticated: when no operator has this key.
        """
        holder = self.operators.get(_sha256(key)) if key else None
        if holder is None:
            raise Unauthenticated("no operator has this key", step="authenticate", peer="operator")
        return holder


def _sha256(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
