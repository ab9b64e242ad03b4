"""Facts of a model that runs as a pipeline of stages over mixed accelerators."""

import msgspec

from bayglade.ids import HallName, ModelName

DEFAULT_REQUEST_TOKENS = 100.0
"""Tokens that a request takes at least, where the operator does not say what is usual."""


class Accelerator(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of accelerator.

    ``memory_mb`` holds layers and the KV cache; ``step_factor`` and
    ``read_factor`` multiply the model's times for a token step and for reading
    a prompt.
    """

    memory_mb: float
    step_factor: float
    read_factor: float


class Demand(msgspec.Struct, frozen=True):
    """What a request asks of a model, in tokens."""

    prompt: float
    answer: float
    """Tokens that its answer is expected to have."""

    @property
    def cached(self) -> float:
        """Return the tokens in the KV cache on average while it runs: half of the answer is there."""
        return self.prompt + self.answer / 2


class Pipeline(msgspec.Struct, frozen=True, kw_only=True):
    """A model whose layers are spread over backend servers.

    ``step_ms`` is the time of a token step through all layers on an
    accelerator of factor one, ``read_ms`` that of reading one prompt token.
    ``token_mb`` is the KV cache of one token over all layers.
    """

    model: ModelName
    layers: int
    layer_mb: float
    token_mb: float
    token_capacity: int
    """Tokens that a server is expected to hold at once (the operator's figure)."""

    step_ms: float
    read_ms: float
    load_seconds: float
    loads_at_once: int
    accelerators: dict[str, Accelerator]
    typical_prompt: int = 0
    typical_answer: int = 0
    request_ms: float = 0.0
    """Time that each request of the usual size adds to a token step of all that run with it."""

    hop_mb: float = 0.0
    """What each token sends from one stage to the next."""

    pipe_mbps: float = 0.0
    """Rate of the pipe between two data halls; zero when it is not known."""

    delays: dict[frozenset[HallName], float] = {}
    """One way between two halls, in milliseconds."""

    def delay_ms(self, one: HallName, other: HallName) -> float:
        """Return the time of one way between two halls."""
        return self.delays.get(frozenset((one, other)), 0.0)

    def typical_request(self) -> Demand:
        """Return a request of the usual size."""
        if not self.typical_prompt and not self.typical_answer:
            return Demand(DEFAULT_REQUEST_TOKENS, 0.0)
        return Demand(float(self.typical_prompt), float(self.typical_answer))

    @property
    def prefill_ms_per_step(self) -> float:
        """Return the time that a usual request's prompt adds to each token step, spread over its answer."""
        return self.read_ms * self.typical_prompt / max(1, self.typical_answer)

    def prefill_ms(self, accelerator: str, tokens: float, layers: int) -> float:
        """Return the milliseconds in which a server reads tokens through some of its layers.

        :param accelerator: its kind.
        :param tokens: how many tokens.
        :param layers: how many layers.
        """
        factor = self.accelerators[accelerator].read_factor
        return self.read_ms * factor * tokens * layers / self.layers

    def cache_capacity(self, accelerator: str, held: int) -> float:
        """Return how much fits into the KV cache of a server.

        :param accelerator: the kind.
        :param held: how many layers lie there.
        :return: tokens times layers.
        """
        return self.token_room(accelerator, held, 1)

    @property
    def typical_tokens(self) -> float:
        """Return the tokens of a usual request at its end, prompt and answer."""
        return max(DEFAULT_REQUEST_TOKENS, float(self.typical_prompt + self.typical_answer))

    def free_mb(self, accelerator: str, held: int) -> float:
        """Return the memory that is left for the KV cache.

        :param accelerator: the kind.
        :param held: how many layers lie there.
        :return: megabytes; negative when the layers do not fit.
        """
        return self.accelerators[accelerator].memory_mb - held * self.layer_mb

    def token_room(self, accelerator: str, held: int, run: int) -> float:
        """Return how many tokens fit at once.

        :param accelerator: the kind.
        :param held: how many layers lie there.
        :param run: how many of them a route uses.
        :return: tokens.
        """
        return self.free_mb(accelerator, held) / (self.token_mb / self.layers * max(run, 1))

    def max_layers(self, accelerator: str, tokens: float) -> int:
        """Return how many layers fit beside a number of tokens in flight.

        :param accelerator: the kind.
        :param tokens: tokens to keep room for.
        :return: layers.
        """
        kind = self.accelerators[accelerator]
        each = self.layer_mb + tokens * self.token_mb / self.layers
        return min(self.layers, int(kind.memory_mb / each))
