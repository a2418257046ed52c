"""YAML documents checked by pydantic, with every fault reported at once."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

import yaml
from pydantic import BaseModel, ConfigDict, ValidationError, model_validator
from pydantic_core import InitErrorDetails, PydanticCustomError

from persimmonspoke.errors import InvalidSettings

Model = TypeVar("Model", bound=BaseModel)

WHOLE_DOCUMENT = "(whole document)"
MAX_VALUE_CHARACTERS = 80
_SECRET_WORDS = ("token", "secret", "password")
_REMEDIES = {
    "missing": "add this field",
    "extra_forbidden": "remove this field, or correct its name",
    "model_type": "write a mapping of fields here",
    "model_attributes_type": "write a mapping of fields here",
    "tuple_type": "write a list here",
}
_PARSER_FAULTS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a document.

    Attributes
    ----------
    path : str
        Where it is, such as ``services[0].targets[2].port``.
    value : str
        What stands there, shortened; hidden if the path names a secret.
    remedy : str
        What to do about it.
    """

    path: str
    value: str
    remedy: str

    def __str__(self):
        return f"{self.path}: {self.value}: {self.remedy}"


@dataclass(frozen=True, slots=True)
class CrossFault:
    """A fault found by comparing several fields; `path` starts at the model."""

    path: tuple[str | int, ...]
    value: Any
    remedy: str


class CheckedModel(BaseModel):
    """A frozen model whose cross-rules are checked even if single fields fail."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    @classmethod
    def cross_faults(cls, raw: dict[str, Any]) -> Iterator[CrossFault]:
        """Yield the faults between fields of `raw`, which may be malformed."""
        yield from ()

    @model_validator(mode="wrap")
    @classmethod
    def _report_all(cls, raw, handler):
        if not isinstance(raw, dict):
            return handler(raw)
        details = [_cross_detail(fault) for fault in cls.cross_faults(raw)]
        try:
            model = handler(raw)
        except ValidationError as exc:
            details += [_field_detail(error) for error in exc.errors()]
        if details:
            raise ValidationError.from_exception_data(cls.__name__, details)
        return model


def load_checked(model: type[Model], text: str, source_name: str) -> Model:
    """Return the YAML document `text` as a `model`.

    Parameters
    ----------
    source_name : str
        Name of the document in messages, such as its file name.

    Raises
    ------
    InvalidSettings
        The document breaks a rule; the message has a line for each fault.
    """
    value = parse(text, source_name)
    try:
        return model.model_validate(value)
    except ValidationError as exc:
        raise _invalid(source_name, explain(exc)) from None


def explain(exc: ValidationError) -> tuple[Fault, ...]:
    """Return every fault in `exc`, in the order of the document."""
    return tuple(_fault(error) for error in exc.errors())


def parse(text: str, source_name: str) -> Any:
    """Return the plain values in `text`; refuse aliases and repeated fields.

    Raises
    ------
    InvalidSettings
        `text` is not readable as YAML.
    """
    try:
        return yaml.load(text, Loader=_Loader)
    except (yaml.YAMLError, *_PARSER_FAULTS) as exc:
        reason = " ".join(str(exc).split())
        fault = Fault(WHOLE_DOCUMENT, "not readable as YAML", reason)
    raise _invalid(source_name, (fault,))


class _Loader(yaml.SafeLoader):
    """The safe loader, without two features that hide mistakes."""

    def compose_node(self, parent, index):
        # A few nested aliases stand for a document of any size.
        if self.check_event(yaml.AliasEvent):
            mark = self.peek_event().start_mark
            raise yaml.constructor.ConstructorError(
                None, None, "aliases are not allowed; write the value out", mark
            )
        return super().compose_node(parent, index)

    def construct_mapping(self, node, deep=False):
        seen = set()
        for key_node, _ in node.value:
            if key_node.value in seen:
                raise yaml.constructor.ConstructorError(
                    None,
                    None,
                    f"the field {key_node.value!r} stands twice; remove one",
                    key_node.start_mark,
                )
            seen.add(key_node.value)
        return super().construct_mapping(node, deep)


def _invalid(source_name, faults):
    """Return the failure that lists `faults`."""
    lines = [f"{source_name} has {len(faults)} fault(s)", *map(str, faults)]
    return InvalidSettings("\n  ".join(lines), faults)


def _cross_detail(fault):
    """Return a fault between fields as pydantic wants it."""
    kind = PydanticCustomError("cross_rule", "{remedy}", {"remedy": fault.remedy})
    return InitErrorDetails(type=kind, loc=fault.path, input=fault.value)


def _field_detail(error):
    """Return a fault of one field as pydantic wants it."""
    kind = PydanticCustomError(error["type"], "{remedy}", {"remedy": error["msg"]})
    return InitErrorDetails(type=kind, loc=error["loc"], input=error["input"])


def _fault(error):
    """Return one error of pydantic as a `Fault`."""
    path = _path(error["loc"])
    message = error["msg"].removeprefix("Value error, ")
    remedy = _REMEDIES.get(error["type"], message[:1].lower() + message[1:])
    if error["type"] == "missing":
        return Fault(path, "missing", remedy)
    return Fault(path, _shown(path, error["input"]), remedy)


def _path(loc):
    """Return a location as text."""
    text = ""
    for part in loc:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else str(part)
    return text or WHOLE_DOCUMENT


def _shown(path, value):
    """Return `value` for a message."""
    if any(word in path.lower() for word in _SECRET_WORDS):
        return "(hidden)"
    text = repr(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        return text[:MAX_VALUE_CHARACTERS] + "..."
    return text
