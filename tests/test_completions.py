"""Completions whose model version is replaced before any part of them has run.

A model was rolled from one version to another and back while callers sent requests. One daemon did not
know yet that two servers held the new version, and sent a request to the last server with the old one,
which was just being reloaded as well. The request asked for the old version, which no server held any
more, for two seconds, and then failed as if there were no room ("no other route of guide has room").
"""

import random
from collections.abc import Iterator
from types import SimpleNamespace
from typing import cast

import eventlet

from bayglade.admission import Admission
from bayglade.backends import Backends
from bayglade.clock import now
from bayglade.completions import Answer, Completions
from bayglade.engines import Engines, wire
from bayglade.exceptions import BackendRefused
from bayglade.ids import AccountName, BackendId, GroupPath, HallName, ModelName, RequestId, Version
from bayglade.metrics import Metrics
from bayglade.models import Completion
from bayglade.settings import Backend, Model, Tree
from bayglade.trust import Trust
from bayglade.usage import Usage

OLD, NEW = Version("v1"), Version("v2")
GUIDE = ModelName("guide")
SLOTS = 4


class Rolling:
    """Two servers that switch to the new version; the daemon learns about the second one only later."""

    def __init__(self, backends: Backends) -> None:
        self.backends = backends
        self.asked: list[Version] = []

    def load(self, address: str) -> wire.Load:
        return wire.Load(0, 0, SLOTS, versions=[NEW])

    def cancel(self, stage: wire.Stage, message: wire.Cancel) -> None:
        """Do nothing, because no attempt is running."""

    def stream(self, order: wire.Generate, gap: float) -> Iterator[wire.Frame]:
        self.asked.append(order.version)
        if order.version == OLD:
            eventlet.spawn_after(0.1, self.report_versions)
            raise BackendRefused("loading", step="stage", peer=order.stages[0].backend)
        for index in range(order.max_tokens):
            yield wire.TokenFrame(order.request, order.attempt, index, "t")
        yield wire.EndFrame(order.request, order.attempt, order.max_tokens, "length")

    def report_versions(self) -> None:
        for state in self.backends.states.values():
            self.backends.apply_report(state.id, self.load(state.facts.address))


def test_a_request_that_has_not_run_takes_the_version_served_now() -> None:
    rng = random.Random(1)
    backends = Backends(rng)
    admission = Admission(backends, Usage(), rng, "h1")
    servers = {
        BackendId(name): Backend(
            address=f"127.0.0.1:{port}",
            hall=HallName("h1"),
            accelerator="a",
            model=GUIDE,
            first=0,
            last=8,
            version=OLD,
        )
        for name, port in (("e1", 1), ("e2", 2))
    }
    admission.sync(Tree(models={GUIDE: Model(layers=8, version=NEW)}, backends=servers))
    for backend in servers:
        backends.apply_report(backend, wire.Load(0, 0, SLOTS, versions=[OLD]))
    engines = Rolling(backends)
    trust = cast(Trust, SimpleNamespace(check=lambda: None))
    completions = Completions(cast(Engines, engines), admission, trust, Metrics(None), rng)
    request = Completion(
        id=RequestId("r1"),
        account=AccountName("a"),
        group=GroupPath("g"),
        priority=0,
        deadline=now() + 10.0,
        model=GUIDE,
        version=OLD,
        prompt="which",
        max_tokens=3,
    )
    assert list(completions.run(request, Answer())) == ["t"] * 3
    assert engines.asked[-1] == NEW
