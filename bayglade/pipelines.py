"""Facts of a model that runs as a pipeline of stages over mixed accelerators."""

import msgspec

from bayglade.ids import ModelName


class Accelerator(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of accelerator.

    ``memory_mb`` holds layers and the KV cache; ``step_factor`` and
    ``read_factor`` multiply the model's times for a token step and for reading
    a prompt.
    """

    memory_mb: float
    step_factor: float
    read_factor: float


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

    def free_mb(self, accelerator: str, held: int) -> float:
        """Return the memory that is left for the KV cache.

        :param accelerator: the kind.
        :param held: how many layers lie there.
        :return: megabytes; negative when the layers do not fit.
        """
        return self.accelerators[accelerator].memory_mb - held * self.layer_mb

    def room(self, accelerator: str, held: int, run: int) -> float:
        """Return how many tokens fit at once.

        :param accelerator: the kind.
        :param held: how many layers lie there.
        :param run: how many of them a route uses.
        :return: tokens.
        """
        return self.free_mb(accelerator, held) / (self.token_mb / self.layers * max(run, 1))

    def most_layers(self, accelerator: str, tokens: float) -> int:
        """Return how many layers fit beside a number of tokens in flight.

        :param accelerator: the kind.
        :param tokens: tokens to keep room for.
        :return: layers.
        """
        kind = self.accelerators[accelerator]
        each = self.layer_mb + tokens * self.token_mb / self.layers
        return min(self.layers, int(kind.memory_mb / each))
