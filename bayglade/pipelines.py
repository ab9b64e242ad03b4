"""Properties of a model that runs as a pipeline of stages over different kinds of accelerators."""

import msgspec

from bayglade.ids import HallName, ModelName

DEFAULT_REQUEST_TOKENS = 100.0
"""Tokens of a typical request where the configuration gives none, and the least that is assumed."""


class Accelerator(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of accelerator.

    ``memory_mb`` holds layers and the KV cache; ``step_factor`` and
    ``read_factor`` multiply the model's times for a token step and for
    prefill, the processing of a prompt.
    """

    memory_mb: float
    step_factor: float
    read_factor: float


class Demand(msgspec.Struct, frozen=True):
    """The size of a request in tokens."""

    prompt: float
    answer: float
    """Expected length of its answer."""

    @property
    def cached(self) -> float:
        """Return the tokens that it has in the KV cache on average while it runs.

        On average, half of the answer has been generated.
        """
        return self.prompt + self.answer / 2


class Pipeline(msgspec.Struct, frozen=True, kw_only=True):
    """A model whose layers are distributed over backend servers.

    ``step_ms`` is the time of one token step through all layers on an
    accelerator of factor one, ``read_ms`` the time of prefill for one prompt
    token. ``token_mb`` is the KV cache of one token over all layers.
    """

    model: ModelName
    layers: int
    layer_mb: float
    token_mb: float
    token_capacity: int
    """Tokens that a server should have room for at once, as configured by the operator."""

    step_ms: float
    read_ms: float
    load_seconds: float
    loads_at_once: int
    accelerators: dict[str, Accelerator]
    typical_prompt: int = 0
    typical_answer: int = 0
    request_ms: float = 0.0
    """Time that each request of typical size adds to a token step of all requests in the same batch."""

    hop_mb: float = 0.0
    """Data that each token sends from one stage to the next."""

    pipe_mbps: float = 0.0
    """Rate of the pipe between two data halls; zero if it is not known."""

    delays: dict[frozenset[HallName], float] = {}
    """One-way delay between two halls, in milliseconds."""

    def delay_ms(self, one: HallName, other: HallName) -> float:
        """Return the one-way delay between two halls."""
        return self.delays.get(frozenset((one, other)), 0.0)

    def typical_request(self) -> Demand:
        """Return a request of typical size."""
        if not self.typical_prompt and not self.typical_answer:
            return Demand(DEFAULT_REQUEST_TOKENS, 0.0)
        return Demand(float(self.typical_prompt), float(self.typical_answer))

    @property
    def prefill_ms_per_step(self) -> float:
        """Return the time that prefill of a typical request adds to each token step of its answer."""
        return self.read_ms * self.typical_prompt / max(1, self.typical_answer)

    def prefill_ms(self, accelerator: str, tokens: float, layers: int) -> float:
        """Return the milliseconds that a server takes for prefill in some of its layers.

        :param accelerator: its kind.
        :param tokens: number of tokens.
        :param layers: number of layers.
        """
        factor = self.accelerators[accelerator].read_factor
        return self.read_ms * factor * tokens * layers / self.layers

    def cache_capacity(self, accelerator: str, held: int) -> float:
        """Return the capacity of a server's KV cache.

        :param accelerator: its kind.
        :param held: number of layers that it holds.
        :return: tokens times layers.
        """
        return self.token_room(accelerator, held, 1)

    @property
    def typical_tokens(self) -> float:
        """Return the tokens of a typical request when it ends, prompt and answer."""
        return max(DEFAULT_REQUEST_TOKENS, float(self.typical_prompt + self.typical_answer))

    def free_mb(self, accelerator: str, held: int) -> float:
        """Return the memory that is left for the KV cache.

        :param accelerator: kind of the server.
        :param held: number of layers that it holds.
        :return: megabytes; negative if the layers do not fit.
        """
        return self.accelerators[accelerator].memory_mb - held * self.layer_mb

    def token_room(self, accelerator: str, held: int, run: int) -> float:
        """Return how many tokens fit into a server's KV cache at once.

        :param accelerator: its kind.
        :param held: number of layers that it holds.
        :param run: how many of these a route uses.
        :return: tokens.
        """
        return self.free_mb(accelerator, held) / (self.token_mb / self.layers * max(run, 1))

    def max_layers(self, accelerator: str, tokens: float) -> int:
        """Return how many layers fit on a server together with the KV cache of some tokens.

        :param accelerator: its kind.
        :param tokens: tokens to keep room for.
        :return: layers.
        """
        kind = self.accelerators[accelerator]
        each = self.layer_mb + tokens * self.token_mb / self.layers
        return min(self.layers, int(kind.memory_mb / each))
