"""Deterministic text of completions, the same for all engines."""

import msgspec
import xxhash

__all__ = [
    "CompletionRequest",
    "Message",
    "completion_text",
    "full_prompt",
    "token_text",
]

DEFAULT_MAX_TOKENS = 16
VOCABULARY = 10_000


class Message(msgspec.Struct):
    """One message of a chat completion request."""

    role: str
    content: str


class CompletionRequest(msgspec.Struct):
    """The fields of a completion request that the engine uses.

    Attributes
    ----------
    crash : bool
        Whether the request crashes the engine process at its first token.
    """

    model: str
    prompt: str = ""
    messages: list[Message] = msgspec.field(default_factory=list)
    max_tokens: int = DEFAULT_MAX_TOKENS
    seed: int = 0
    stream: bool = False
    crash: bool = False


def full_prompt(request: CompletionRequest) -> str:
    """Return the prompt; for a chat, its messages joined."""
    chat = "\n".join(f"{one.role}: {one.content}" for one in request.messages)
    return request.prompt or chat


def token_text(seed: int, prompt: str, number: int) -> str:
    """Return the text of one token of a completion.

    Parameters
    ----------
    seed : int
        Seed of the request.
    prompt : str
        Prompt of the request.
    number : int
        Index of the token, from 0.

    Returns
    -------
    str
        A word with a leading space.

    Examples
    --------
    >>> token_text(1, "a", 0) == token_text(1, "a", 0)
    True
    """
    digest = xxhash.xxh64_intdigest(f"{seed}\0{prompt}\0{number}".encode())
    return f" w{digest % VOCABULARY}"


def completion_text(request: CompletionRequest) -> str:
    """Return the full text of the completion of a request."""
    prompt = full_prompt(request)
    return "".join(
        token_text(request.seed, prompt, number) for number in range(request.max_tokens)
    )
