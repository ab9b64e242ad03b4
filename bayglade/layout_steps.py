"""Decides which servers are ordered to change their layers now, so that no layer loses its last holder.

Each change of a layout makes a server stop serving some layers at once, while
the layers that it gains take seconds to load. The functions here divide such
changes into steps: the site as a whole holds every layer first, then each data
hall. They have no side effects except on the :class:`LayoutState` passed to
them; see ``docs/design/layout_steps.md``.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence

import msgspec

from bayglade.ids import BackendId, HallName, ServerKey
from bayglade.layout_capacity import MIN_CAPACITY_SECONDS, LowCapacity, is_tiny, layout_capacity, may_load
from bayglade.logs import event
from bayglade.pipelines import Pipeline
from bayglade.repair import count_missing, fill_empty, repair
from bayglade.servers import ServerFacts
from bayglade.tiling import Span, Spans, able_halls, count_holders, group_servers, max_layers, tile_group

SITE = "site"
"""Name of the site as a whole among the names of groups, which are those of halls in the logs."""
REPAIR_DELAY = 0.8
"""Seconds after which missing layers are loaded on other servers. A server that did not answer may be back
sooner; one that crashed takes seconds to restart and is then empty."""
SITE_REPAIR_DELAY = 0.4
"""The same where no server of the site holds a layer: no request runs until then. It covers one answer that
is late by some tenths of a second."""
GROUP_HOLD_SECONDS = 8.0
"""For how long a hall that held the model alone remains a group of its own after losing servers. Crashed
servers are back after 3 s and loaded after 3.5 s more; regrouping earlier would change the layout of
another hall as well."""
PLAN_SECONDS = 20.0
"""Seconds after which a rebuild that has not made its group whole is abandoned. Its loads take up to 3.5 s
each, in up to three steps, and twice that with loads elsewhere."""
DEFAULT_LOAD_SECONDS = 4.0
"""Expected time of a load where the model is not known."""
ORDER_MARGIN_SECONDS = 2.0
"""Seconds after the expected end of a load at which an order without visible effect counts as failed. The
server's row takes up to 1 s to arrive."""
LATE_LOAD_SECONDS = 0.4
"""Time that is still expected of a load that is late: one check of the layout."""
SITE_EXTENDED_CAPACITY = 0.25
"""Token capacity that a server keeps when it holds more layers because the site misses them. No request can
run until then, so less capacity is accepted than for a gap of one hall."""
CONFIRMED_HOLDERS = 2
"""How many other holders of each layer to be given up are asked for a report before the order is sent."""


class PendingOrder(msgspec.Struct, frozen=True):
    """An order that was sent recently and whose effect is not visible yet."""

    span: Span
    sent_at: float
    load_seconds: float = DEFAULT_LOAD_SECONDS
    """Expected time of its load when it was sent."""

    def overdue(self, at: float) -> bool:
        """Tell whether the order counts as failed."""
        return at - self.sent_at > self.load_seconds + ORDER_MARGIN_SECONDS


Pending = Mapping[BackendId, PendingOrder]


class RebuildPlan(msgspec.Struct, frozen=True):
    """The layout that one group, or the site, is being changed to."""

    group: str
    members: frozenset[ServerKey]
    wanted: Spans
    made_at: float
    for_capacity: bool = False
    """Whether the group was whole, but with little token capacity."""


class LayoutState:
    """What this daemon remembers about the layout of one service. Times are monotonic seconds."""

    __slots__ = (
        "able_halls",
        "forced",
        "last_abandoned",
        "low_capacity",
        "missing_since",
        "plan",
        "plan_change",
        "unable_since",
    )

    def __init__(self) -> None:
        self.missing_since: dict[str, float] = {}
        """Since when each group, and the site, has lacked layers that no order under way brings."""

        self.able_halls: set[HallName] = set()
        """Halls that are groups of their own."""

        self.unable_since: dict[HallName, float] = {}
        self.plan: RebuildPlan | None = None

        self.plan_change: tuple[str, str] | None = None
        """The group whose plan changed last in the last call of :func:`next_steps`, and why."""

        self.low_capacity = LowCapacity()

        self.last_abandoned: str | None = None
        """The group whose plan was abandoned last; other groups are rebuilt before it."""

        self.forced: set[BackendId] = set()
        """Servers that the last call of :func:`next_steps` moves although they are the last holders of a
        layer, because the model is incomplete in the site anyway."""

    def __repr__(self) -> str:
        return f"<LayoutState missing={sorted(self.missing_since)} plan={self.plan and self.plan.group}>"

    def set_plan(self, plan: RebuildPlan, reason: str) -> None:
        """Replace the plan and store why."""
        self.plan, self.plan_change = plan, (plan.group, reason)

    def plan_of(self, group: str) -> RebuildPlan | None:
        """Return the plan if it is that of a group."""
        return self.plan if self.plan is not None and self.plan.group == group else None

    def drop_plan(self, group: str, reason: str) -> None:
        """Remove the plan of a group, if there is one, and store why."""
        if self.plan_of(group) is not None:
            self.plan, self.plan_change = None, (group, reason)

    def unfinished(self) -> bool:
        """Tell whether a group or the site lacks layers or capacity, so that it must be checked again."""
        return bool(self.missing_since or self.low_capacity.since or self.plan)


def load_seconds(gained: int, loads: int, pipeline: Pipeline) -> float:
    """Return the time that a server takes to load layers.

    :param gained: number of layers that it does not hold yet.
    :param loads: number of servers that load at the same time.
    :param pipeline: properties of the model.
    :return: seconds.
    """
    slowdown = max(1.0, loads / max(1, pipeline.loads_at_once))
    return pipeline.load_seconds * gained / pipeline.layers * slowdown


def gained_layers(held: Span, span: Span) -> int:
    """Return how many layers a server loads to change from one span to another."""
    return span.length - _kept(held, span).length


def serving_spans(held: Spans, pending: Pending) -> Spans:
    """Return the layers that servers serve now.

    :param held: the layers that each server reports.
    :param pending: orders under way; what they give up is no longer served.
    """
    return {
        backend: _kept(span, pending[backend].span) if backend in pending else span
        for backend, span in held.items()
    }


def safe_steps(
    held: Spans,
    wanted: Spans,
    pending: Pending,
    pipeline: Pipeline,
    confirmed: Collection[BackendId] | None = None,
) -> Spans:
    """Choose the changes that may be ordered now.

    A change may be ordered if every layer that the server gives up has another
    holder in the site that serves it now. Changes chosen before it and pending
    ones count as given up and not yet gained. Layers that the site lacks are
    loaded first, and until they are served, other loads start only within
    ``loads_at_once``, because each further load slows all others. Later, up to
    ``MAX_LOADS_FACTOR`` times as many run together.

    :param held: the spans that the usable servers of the whole site report.
    :param wanted: the spans to reach; servers that are left out do not change.
    :param pending: orders under way; their servers get no other order.
    :param pipeline: properties of the model.
    :param confirmed: the servers that count as other holders; all by default.
    :return: the changes to order.
    """
    serving = serving_spans(held, pending)
    counts = _count_all(serving.values(), pipeline.layers)
    lacking = [layer for layer, holders in enumerate(counts) if not holders]
    loads = count_loads(held, pending)
    urgent_loads = sum(_holds_any(order.span, lacking) for order in pending.values())
    chosen: Spans = {}
    order = _by_urgency(held, wanted, pending, counts)
    if confirmed is not None:
        counts = _count_all((serving[b] for b in confirmed if b in serving), pipeline.layers)
    for backend in order:
        before, after = held[backend], wanted[backend]
        loading = gained_layers(before, after) > 0
        urgent = _holds_any(after, lacking)
        if loading and not may_load(urgent, loads, urgent_loads, not lacking, pipeline):
            continue
        if any(counts[layer] < 2 for layer in _given_up(before, after)):
            continue
        chosen[backend] = after
        loads += loading
        urgent_loads += urgent
        for layer in _given_up(before, after):
            counts[layer] -= 1
    return chosen


def count_loads(held: Spans, pending: Pending) -> int:
    """Count the loads under way.

    :param held: the spans that servers report.
    :param pending: orders under way; one whose server is not in ``held`` counts as a load.
    """
    return sum(
        backend not in held or gained_layers(held[backend], order.span) > 0
        for backend, order in pending.items()
    )


def seconds_until_covered(
    spans_now: Spans, pending: Pending, pipeline: Pipeline, at: float
) -> float | None:
    """Return the time until every layer has a holder, by the orders under way.

    :param spans_now: the spans that the usable servers report.
    :param pending: orders under way.
    :param pipeline: properties of the model.
    :param at: the time now, in monotonic seconds.
    :return: seconds; 0.0 if every layer has a holder now, ``None`` if no order brings some layer.
    """
    counts = _count_all(serving_spans(spans_now, pending).values(), pipeline.layers)
    loads = count_loads(spans_now, pending)
    left = {
        backend: max(
            LATE_LOAD_SECONDS,
            order.sent_at
            + load_seconds(gained_layers(spans_now[backend], order.span), loads, pipeline)
            - at,
        )
        for backend, order in pending.items()
        if backend in spans_now
    }
    longest = 0.0
    for layer, holders in enumerate(counts):
        if holders:
            continue
        bringing = [
            seconds
            for backend, seconds in left.items()
            if pending[backend].span.first <= layer < pending[backend].span.last
        ]
        if not bringing:
            return None
        longest = max(longest, min(bringing))
    return longest


def count_unserved(held: Spans, pending: Pending, pipeline: Pipeline) -> int:
    """Count the layers that no server serves now.

    :param held: the spans that the usable servers report.
    :param pending: orders under way.
    :param pipeline: properties of the model.
    """
    return _count_all(serving_spans(held, pending).values(), pipeline.layers).count(0)


def relied_on(held: Spans, steps: Spans, pending: Pending, pipeline: Pipeline) -> set[BackendId]:
    """Choose servers whose reports confirm that the layers to be given up have other holders.

    :param held: the spans that servers report.
    :param steps: the changes to order.
    :param pending: orders under way.
    :param pipeline: properties of the model.
    :return: ``CONFIRMED_HOLDERS`` other holders of each layer that is given up, where there are as many.
    """
    needed = [0] * pipeline.layers
    for backend, span in steps.items():
        for layer in _given_up(held[backend], span):
            needed[layer] = CONFIRMED_HOLDERS
    chosen: set[BackendId] = set()
    serving = serving_spans(held, pending)
    for backend, span in sorted(serving.items(), key=lambda each: (-each[1].length, each[0])):
        kept = _kept(span, steps[backend]) if backend in steps else span
        layers = [layer for layer in range(kept.first, kept.last) if needed[layer]]
        if layers:
            chosen.add(backend)
        for layer in layers:
            needed[layer] -= 1
    return chosen


def next_steps(
    state: LayoutState,
    servers: Sequence[ServerFacts],
    pending: Pending,
    pipeline: Pipeline,
    at: float,
    settled: bool,
    fixed: Collection[BackendId] = (),
    pair_servers: bool = True,
) -> Spans:
    """Decide which changes to order now.

    :param state: what this daemon remembers of the service; updated.
    :param servers: the servers that layouts count on, with the layers that they report.
    :param pending: orders under way.
    :param pipeline: properties of the model.
    :param at: the time now, in monotonic seconds.
    :param settled: whether no server has been added for a while, so that empty groups get a layout.
    :param fixed: servers that get no orders, and whose layers do not count as served.
    :param pair_servers: whether to pair servers where memory allows.
    :return: spans by server.
    """
    state.plan_change = None
    state.forced = set()
    expected = [_with_span(s, pending[s.id].span) if s.id in pending else s for s in servers]
    draft = _Draft(expected, pipeline, frozenset(fixed))
    groups = _group(state, expected, pipeline, at)
    initial = _fill_groups(draft, groups, settled, pair_servers)
    held = {s.id: Span(s.first, s.last) for s in servers if s.id not in draft.fixed}
    orders = {b: order for b, order in pending.items() if b in held}
    names = {_name(group) for group in groups} | {SITE}
    for name in [name for name in state.missing_since if name not in names]:
        del state.missing_since[name]
    state.low_capacity.keep(names)
    _check_plan(state, names, at)
    forced: Spans = {}
    if draft.holds_anything():
        if _missing_long_enough(state, SITE, draft.facts.values(), pipeline, at):
            forced = _restore_site(state, draft, held, orders, at)
        _restore_groups(state, draft, groups, held, orders, at, pair_servers)
    state.forced = set(forced)
    initial = {b: s for b, s in initial.items() if b in held and b not in orders and s != held[b]}
    chosen = orders | {b: PendingOrder(span, at) for b, span in (initial | forced).items()}
    return initial | forced | safe_steps(held, draft.changes, chosen, pipeline)


class _Draft:
    """The layers that each server would hold after the orders under way and the changes chosen so far."""

    def __init__(
        self, expected: Iterable[ServerFacts], pipeline: Pipeline, fixed: frozenset[BackendId]
    ) -> None:
        self.facts = {facts.id: facts for facts in expected}
        self.pipeline = pipeline
        self.fixed = fixed
        self.changes: Spans = {}

    def current(self, group: Iterable[ServerFacts]) -> list[ServerFacts]:
        """Return the servers of a group with the changes chosen so far."""
        return [self.facts[facts.id] for facts in group]

    def change(self, spans: Spans) -> None:
        """Add changes."""
        for backend, span in spans.items():
            self.facts[backend] = _with_span(self.facts[backend], span)
        self.changes |= spans

    def holds_anything(self) -> bool:
        """Tell whether any server holds layers."""
        return any(facts.layer_count for facts in self.facts.values())

    def counts(self) -> list[int]:
        """Count the holders of each layer."""
        return _count_all((Span(f.first, f.last) for f in self.facts.values()), self.pipeline.layers)


def _group(
    state: LayoutState, servers: Sequence[ServerFacts], pipeline: Pipeline, at: float
) -> list[list[ServerFacts]]:
    """Divide servers into groups; a hall that lost servers remains a group of its own for a while."""
    able = able_halls(servers, pipeline)
    for hall in state.able_halls - able:
        if at - state.unable_since.setdefault(hall, at) >= GROUP_HOLD_SECONDS:
            state.able_halls.discard(hall)
            del state.unable_since[hall]
    for hall in able:
        state.able_halls.add(hall)
        state.unable_since.pop(hall, None)
    return group_servers(servers, pipeline, state.able_halls)


def _name(group: Iterable[ServerFacts]) -> str:
    return min(facts.hall for facts in group)


def _fill_groups(
    draft: _Draft, groups: Sequence[Sequence[ServerFacts]], settled: bool, pair_servers: bool
) -> Spans:
    """Choose spans for empty servers, first where the site misses layers.

    :return: the spans of groups that held nothing, which are ordered all at once.
    """
    initial: Spans = {}
    pipeline = draft.pipeline
    site_counts = draft.counts()
    for group in groups:
        empty = [facts for facts in group if not facts.layer_count]
        holding = [facts for facts in group if facts.layer_count]
        if holding:
            draft.change(fill_empty(holding, empty, pipeline, site_counts))
            continue
        spans = tile_group(group, pipeline, pair_servers) if settled else {}
        if not spans and any(site_counts) and 0 in site_counts:
            draft.change(fill_empty([], empty, pipeline, site_counts))
            continue
        for span in spans.values():
            count_holders(site_counts, span)
        draft.change(spans)
        initial |= spans
    return initial


def _missing_long_enough(
    state: LayoutState, name: str, servers: Iterable[ServerFacts], pipeline: Pipeline, at: float
) -> bool:
    """Tell whether a group has missed layers for so long that they are loaded on other servers."""
    missing = count_missing(servers, pipeline.layers)
    if not missing:
        state.missing_since.pop(name, None)
        return False
    if name not in state.missing_since:
        state.missing_since[name] = at
        event("INFO", "layers missing", hall=name, count=missing)
    return at - state.missing_since[name] >= (SITE_REPAIR_DELAY if name == SITE else REPAIR_DELAY)


def _check_plan(state: LayoutState, names: Collection[str], at: float) -> None:
    """Drop a plan that takes too long or whose group no longer exists."""
    plan = state.plan
    if plan is None:
        return
    if plan.group not in names:
        state.drop_plan(plan.group, "group changed")
    elif at - plan.made_at > PLAN_SECONDS:
        _abandon(state, plan, "not whole in time")


def _abandon(state: LayoutState, plan: RebuildPlan, reason: str) -> None:
    """Drop a plan that makes no progress, so that other groups go first."""
    state.last_abandoned = plan.group
    state.low_capacity.note_tried(plan.group, plan.members)
    state.drop_plan(plan.group, reason)


def _plan(
    state: LayoutState,
    name: str,
    servers: Sequence[ServerFacts],
    draft: _Draft,
    at: float,
    pair: bool,
    wait_until: float = 0.0,
) -> Spans:
    """Return the layout that a group is being changed to; empty if it cannot hold the model.

    It is kept until the servers of the group change, so that a server that was just loaded is not moved
    again. Until ``wait_until``, no layout with too little token capacity is chosen.
    """
    members = frozenset(facts.key for facts in servers)
    plan = state.plan_of(name)
    if plan is not None and plan.members == members:
        return plan.wanted
    wanted = tile_group(servers, draft.pipeline, pair)
    if (
        wanted
        and at < wait_until
        and is_tiny(layout_capacity(servers, draft.pipeline, wanted), draft.pipeline)
    ):
        state.drop_plan(name, "waits for servers")
        return {}
    if wanted:
        reason = "servers changed" if plan is not None else "layers missing"
        state.set_plan(RebuildPlan(name, members, wanted, at), reason)
    else:
        state.drop_plan(name, "too few servers")
    return wanted


def _restore_site(state: LayoutState, draft: _Draft, held: Spans, pending: Pending, at: float) -> Spans:
    """Bring layers back that no server of the site holds, with few changes if that is possible.

    :return: changes to order although they are not safe, because the model is incomplete anyway.
    """
    servers = [facts for facts in draft.facts.values() if facts.accelerator in draft.pipeline.accelerators]
    # A server that is loading takes no other order, so the first attempts leave those out.
    busy = draft.fixed | pending.keys()
    served = _count_all(serving_spans(held, pending).values(), draft.pipeline.layers)
    for immovable, limit in ((busy, served), (busy, None), (draft.fixed, None)):
        spans = repair(servers, draft.pipeline, SITE_EXTENDED_CAPACITY, immovable, limit, only_gaps=True)
        if not _missing_after(servers, spans, draft.pipeline):
            draft.change(spans)
            return {}
    if at - state.missing_since[SITE] < REPAIR_DELAY:
        return {}
    movable = [facts for facts in servers if facts.id not in draft.fixed]
    wanted = _plan(state, SITE, movable, draft, at, pair=False)
    changes = {b: span for b, span in wanted.items() if b not in pending and span != held[b]}
    steps = safe_steps(held, changes, pending, draft.pipeline)
    steps |= _hulls(held, changes, steps, pending, draft)
    forced: Spans = {}
    after = {facts.id: Span(facts.first, facts.last) for facts in servers} | steps
    # The model is incomplete, so no request runs on these layers: waiting for safe steps gains nothing.
    for backend in sorted(changes, key=lambda b: (*_cost(held, b, changes[b], draft), b)):
        if 0 not in _count_all(after.values(), draft.pipeline.layers):
            break
        if backend not in steps and _has_load_slot(held, pending, steps, draft.pipeline):
            steps[backend] = after[backend] = forced[backend] = changes[backend]
    draft.change(steps)
    return forced


def _cost(held: Spans, backend: BackendId, span: Span, draft: _Draft) -> tuple[int, int]:
    """Return how many layers a change leaves without a holder, and how many it loads."""
    counts = _count_all(held.values(), draft.pipeline.layers)
    lost = sum(counts[layer] < 2 for layer in _given_up(held[backend], span))
    return lost, gained_layers(held[backend], span)


def _has_load_slot(held: Spans, pending: Pending, steps: Spans, pipeline: Pipeline) -> bool:
    loads = sum(gained_layers(held[backend], span) > 0 for backend, span in steps.items())
    return count_loads(held, pending) + loads < pipeline.loads_at_once


def _hulls(held: Spans, changes: Spans, steps: Spans, pending: Pending, draft: _Draft) -> Spans:
    """Let servers that cannot give up their layers yet hold the old and the new ones, if they fit.

    Servers that wait for each other to load are so freed.
    """
    hulls: Spans = {}
    for backend, span in changes.items():
        before = held[backend]
        hull = Span(min(before.first, span.first), max(before.last, span.last))
        most = max_layers(draft.facts[backend], draft.pipeline, SITE_EXTENDED_CAPACITY)
        if backend in steps or not before.length or hull == before or hull.length > most:
            continue
        if _has_load_slot(held, pending, steps | hulls, draft.pipeline):
            hulls[backend] = hull
    return hulls


def _restore_groups(
    state: LayoutState,
    draft: _Draft,
    groups: Sequence[Sequence[ServerFacts]],
    held: Spans,
    pending: Pending,
    at: float,
    pair_servers: bool,
) -> None:
    """Bring layers back that groups miss: few changes in any number of groups, a new layout in one.

    While another group serves, a group waits for servers rather than get a layout with little room.
    """
    pipeline = draft.pipeline
    failed: list[list[ServerFacts]] = []
    for group in groups:
        name, current = _name(group), draft.current(group)
        plan = state.plan_of(name)
        if not _missing_long_enough(state, name, current, pipeline, at):
            ordered = any(facts.id in pending for facts in group)
            if plan is not None and not plan.for_capacity and not ordered:
                state.drop_plan(name, "group whole")
            continue
        if plan is None:
            holding = [facts for facts in current if facts.layer_count]
            spans = repair(holding, pipeline, fixed=draft.fixed | pending.keys())
            if not _missing_after(current, spans, pipeline):
                draft.change(spans)
                continue
        failed.append(current)
    if SITE in state.missing_since:
        return
    state.drop_plan(SITE, "site covered")
    failed.sort(key=lambda g: (_name(g) == state.last_abandoned, count_missing(g, pipeline.layers)))
    whole = _whole_groups(groups, held, pending, pipeline) if failed else set()
    for current in failed:
        name = _name(current)
        movable = [facts for facts in current if facts.id not in draft.fixed]
        if state.plan is not None and state.plan.group != name:
            continue
        wait_until = state.missing_since[name] + MIN_CAPACITY_SECONDS if whole - {name} else at
        wanted = _plan(state, name, movable, draft, at, pair_servers, wait_until)
        _follow_plan(state, name, wanted, draft, held, pending)
    missing = {_name(current) for current in failed}
    for group in groups:
        name = _name(group)
        if name not in missing:
            _restore_capacity(state, name, group, groups, draft, held, pending, at, pair_servers)


def _restore_capacity(
    state: LayoutState,
    name: str,
    group: Sequence[ServerFacts],
    groups: Sequence[Sequence[ServerFacts]],
    draft: _Draft,
    held: Spans,
    pending: Pending,
    at: float,
    pair_servers: bool,
) -> None:
    """Rebuild a group that holds every layer but has far less room than its servers allow."""
    pipeline = draft.pipeline
    servers = [facts for facts in draft.current(group) if facts.id not in draft.fixed]
    plan = state.plan_of(name)
    if plan is None:
        idle = not any(facts.id in pending or facts.id in draft.changes for facts in group)
        low = idle and state.low_capacity.check(name, servers, pipeline, pair_servers)
        if not state.low_capacity.lasts(name, low, at) or state.plan is not None:
            return
        others = {_name(other) for other in groups} - {name}
        if others - _whole_groups(groups, held, pending, pipeline):
            return
        members = frozenset(facts.key for facts in servers)
        wanted = tile_group(servers, pipeline, pair_servers)
        plan = RebuildPlan(name, members, wanted, at, for_capacity=True)
        state.set_plan(plan, "little capacity")
    elif not plan.for_capacity:
        return
    elif plan.members != {facts.key for facts in servers}:
        state.drop_plan(name, "servers changed")
        return
    if all(held.get(backend) == span for backend, span in plan.wanted.items()):
        state.low_capacity.note_tried(name, plan.members)
        state.drop_plan(name, "capacity restored")
        return
    _follow_plan(state, name, plan.wanted, draft, held, pending)


def _follow_plan(
    state: LayoutState, name: str, wanted: Spans, draft: _Draft, held: Spans, pending: Pending
) -> None:
    """Add the changes that are left of the plan of a group."""
    changes = {b: span for b, span in wanted.items() if b not in pending and b in held and span != held[b]}
    if not changes:
        return
    if not pending and not safe_steps(held, changes, pending, draft.pipeline):
        changes = _hulls(held, changes, {}, pending, draft)
        if not changes and state.plan is not None:
            _abandon(state, state.plan, "no safe step")
    draft.change(changes)


def _whole_groups(
    groups: Iterable[Sequence[ServerFacts]], held: Spans, pending: Pending, pipeline: Pipeline
) -> set[str]:
    """Return the groups that serve every layer now."""
    serving = serving_spans(held, pending)
    whole = set()
    for group in groups:
        spans = (serving[facts.id] for facts in group if facts.id in serving)
        if 0 not in _count_all(spans, pipeline.layers):
            whole.add(_name(group))
    return whole


def _missing_after(servers: Iterable[ServerFacts], spans: Spans, pipeline: Pipeline) -> int:
    """Count the layers that are missing after some changes."""
    return count_missing(
        (_with_span(f, spans[f.id]) if f.id in spans else f for f in servers), pipeline.layers
    )


def _by_urgency(held: Spans, wanted: Spans, pending: Pending, counts: Sequence[int]) -> list[BackendId]:
    """Order changes: first those that bring missing layers, then those that give up and load the least."""

    def rank(backend: BackendId) -> tuple[bool, int, int, BackendId]:
        span, before = wanted[backend], held[backend]
        brings = any(counts[layer] == 0 for layer in range(span.first, span.last))
        return not brings, len(_given_up(before, span)), gained_layers(before, span), backend

    changing = [b for b, span in wanted.items() if b in held and b not in pending and held[b] != span]
    return sorted(changing, key=rank)


def _holds_any(span: Span, layers: Iterable[int]) -> bool:
    return any(span.first <= layer < span.last for layer in layers)


def _given_up(before: Span, after: Span) -> list[int]:
    return [layer for layer in range(before.first, before.last) if not after.first <= layer < after.last]


def _kept(before: Span, after: Span) -> Span:
    """Return the layers that are in both spans."""
    first, last = max(before.first, after.first), min(before.last, after.last)
    return Span(first, last) if first < last else Span(0, 0)


def _count_all(spans: Iterable[Span], layers: int) -> list[int]:
    counts = [0] * layers
    for span in spans:
        count_holders(counts, span)
    return counts


def _with_span(facts: ServerFacts, span: Span) -> ServerFacts:
    return msgspec.structs.replace(facts, first=span.first, last=span.last)
