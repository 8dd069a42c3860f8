"""The text that every engine gives for a request, computable by anyone."""

import msgspec
import xxhash

__all__ = ["CompletionRequest", "Message", "answer_text", "prompt_of", "token_text"]

DEFAULT_MAX_TOKENS = 16
VOCABULARY = 10_000


class Message(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str


class CompletionRequest(msgspec.Struct):
    """The part of a completion's body that the engine uses.

    Attributes
    ----------
    crash : bool
        Whether the request ends the engine's process at its first token.
    """

    model: str
    prompt: str = ""
    messages: list[Message] = msgspec.field(default_factory=list)
    max_tokens: int = DEFAULT_MAX_TOKENS
    seed: int = 0
    stream: bool = False
    crash: bool = False


def prompt_of(request: CompletionRequest) -> str:
    """Return the prompt, for a chat that of its messages together."""
    chat = "\n".join(f"{one.role}: {one.content}" for one in request.messages)
    return request.prompt or chat


def token_text(seed: int, prompt: str, number: int) -> str:
    """Return the text of an answer's token.

    Parameters
    ----------
    seed : int
        The request's seed.
    prompt : str
        Its prompt.
    number : int
        Place of the token, from 0.

    Returns
    -------
    str
        A word with a space before it.

    Examples
    --------
    >>> token_text(1, "a", 0) == token_text(1, "a", 0)
    True
    """
    digest = xxhash.xxh64_intdigest(f"{seed}\0{prompt}\0{number}".encode())
    return f" w{digest % VOCABULARY}"


def answer_text(request: CompletionRequest) -> str:
    """Return the whole text of the answer to a request."""
    prompt = prompt_of(request)
    return "".join(
        token_text(request.seed, prompt, number) for number in range(request.max_tokens)
    )
