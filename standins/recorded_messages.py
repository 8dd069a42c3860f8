"""Sample messages of a build, as recorded for the tests of later builds.

``python -m standins.recorded_messages FILE`` adds the messages that the recording FILE
lacks, as a line with the name and the encoded message in hexadecimal for each.
"""

import sys
from itertools import count
from pathlib import Path

import msgspec
from msgspec import inspect

from cranberryfield.core.messages import codec
from cranberryfield.core.messages.base import Message

__all__ = ["is_extension", "message_kinds", "read_recording", "sample_message"]

#: Elements of each sample collection.
SAMPLE_ELEMENTS = 2


def message_kinds() -> dict[str, type[Message]]:
    """Return the messages of this build by name."""
    return {kind.__name__: kind for kind in codec._MESSAGE_TYPES}


def sample_message(kind: type[Message]) -> Message:
    """Return a message whose fields all differ from their defaults where possible."""
    encoded = _sample(inspect.type_info(kind), count(1))
    return msgspec.convert(encoded, kind, builtin_types=(bytes,))


def _sample(kind: inspect.Type, numbers: count) -> object:
    match kind:
        case inspect.BoolType():
            return True
        case inspect.IntType():
            return next(numbers)
        case inspect.FloatType():
            return next(numbers) + 0.5
        case inspect.StrType():
            return f"s{next(numbers)}"
        case inspect.BytesType():
            return b"b%d" % next(numbers)
        case inspect.EnumType(cls):
            return list(cls)[-1].value
        case inspect.UnionType(types):
            return _sample(
                next(one for one in types if not isinstance(one, inspect.NoneType)),
                numbers,
            )
        case inspect.ListType(item_type=item) | inspect.VarTupleType(item_type=item):
            return [_sample(item, numbers) for _ in range(SAMPLE_ELEMENTS)]
        case inspect.TupleType(item_types):
            return [_sample(item, numbers) for item in item_types]
        case inspect.DictType(key_type=key, value_type=value):
            return {
                _sample(key, numbers): _sample(value, numbers)
                for _ in range(SAMPLE_ELEMENTS)
            }
        case inspect.StructType(cls, fields, tag=tag):
            values = [_sample(field.type, numbers) for field in fields]
            return [tag, *values] if tag is not None else values
    raise TypeError(f"no sample for {kind}")


def read_recording(text: str) -> dict[str, bytes]:
    """Return the encoded messages of a recording by name."""
    lines = (line.split() for line in text.splitlines())
    return {name: bytes.fromhex(data) for name, data in lines}


def is_extension(recorded: object, written: object) -> bool:
    """Return whether `written` is `recorded`, with fields added at their ends.

    Both are decoded without their types, so that records are lists.
    """
    if isinstance(recorded, list) and isinstance(written, list):
        return len(recorded) <= len(written) and all(
            map(is_extension, recorded, written)
        )
    if isinstance(recorded, dict) and isinstance(written, dict):
        return recorded.keys() == written.keys() and all(
            is_extension(value, written[key]) for key, value in recorded.items()
        )
    return type(recorded) is type(written) and recorded == written


def main(path: Path) -> None:
    """Add the messages of this build that a recording lacks."""
    recorded = read_recording(path.read_text()) if path.exists() else {}
    for name, kind in message_kinds().items():
        if name not in recorded:
            recorded[name] = codec.encode_message(sample_message(kind))
    lines = (f"{name} {data.hex()}\n" for name, data in sorted(recorded.items()))
    path.write_text("".join(lines))


if __name__ == "__main__":
    main(Path(sys.argv[1]))
