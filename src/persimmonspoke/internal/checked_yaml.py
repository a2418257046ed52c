"""Validation of YAML documents by pydantic that reports all faults at once."""

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
_PARSER_ERRORS = (
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
        Path of the field, such as ``services[0].targets[2].port``.
    value : str
        The faulty value, shortened; hidden if the path names a secret.
    remedy : str
        How to correct the fault.
    """

    path: str
    value: str
    remedy: str

    def __str__(self):
        return f"{self.path}: {self.value}: {self.remedy}"


@dataclass(frozen=True, slots=True)
class CrossFault:
    """A fault found by comparing several fields; `path` is relative to the model."""

    path: tuple[str | int, ...]
    value: Any
    remedy: str


class CheckedModel(BaseModel):
    """A frozen model whose cross-field rules are checked even if fields are invalid."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    @classmethod
    def cross_faults(cls, raw: dict[str, Any]) -> Iterator[CrossFault]:
        """Yield faults that concern several fields of `raw`, which may be malformed."""
        yield from ()

    @model_validator(mode="wrap")
    @classmethod
    def _validate_all(cls, raw, handler):
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
        The document is invalid; the message has one line per fault.
    """
    value = parse_yaml(text, source_name)
    try:
        return model.model_validate(value)
    except ValidationError as exc:
        raise _invalid(source_name, faults_of(exc)) from None


def faults_of(exc: ValidationError) -> tuple[Fault, ...]:
    """Return all faults in `exc`, in the order that pydantic reports them."""
    return tuple(_fault(error) for error in exc.errors())


def parse_yaml(text: str, source_name: str) -> Any:
    """Return the values in `text`; aliases and repeated fields are refused.

    Raises
    ------
    InvalidSettings
        `text` is not valid YAML, or uses a refused feature.
    """
    try:
        return yaml.load(text, Loader=_Loader)
    except (yaml.YAMLError, *_PARSER_ERRORS) as exc:
        reason = " ".join(str(exc).split())
        fault = Fault(WHOLE_DOCUMENT, "not readable as YAML", reason)
    raise _invalid(source_name, (fault,))


class _Loader(yaml.SafeLoader):
    """The safe loader, which also refuses aliases and repeated fields."""

    def compose_node(self, parent, index):
        # A few nested aliases can expand to a document of any size.
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
                    f"the field {key_node.value!r} appears twice; remove one",
                    key_node.start_mark,
                )
            seen.add(key_node.value)
        return super().construct_mapping(node, deep)


def _invalid(source_name, faults):
    """Return the exception that lists `faults`."""
    lines = [f"{source_name} has {len(faults)} fault(s)", *map(str, faults)]
    return InvalidSettings("\n  ".join(lines), faults)


def _cross_detail(fault):
    """Return a cross-field fault as a pydantic error."""
    kind = PydanticCustomError("cross_rule", "{remedy}", {"remedy": fault.remedy})
    return InitErrorDetails(type=kind, loc=fault.path, input=fault.value)


def _field_detail(error):
    """Return an error of one field in the form that pydantic accepts for raising."""
    kind = PydanticCustomError(error["type"], "{remedy}", {"remedy": error["msg"]})
    return InitErrorDetails(type=kind, loc=error["loc"], input=error["input"])


def _fault(error):
    """Return a pydantic error as a `Fault`."""
    path = _path(error["loc"])
    message = error["msg"].removeprefix("Value error, ")
    remedy = _REMEDIES.get(error["type"], message[:1].lower() + message[1:])
    if error["type"] == "missing":
        return Fault(path, "missing", remedy)
    return Fault(path, _display_value(path, error["input"]), remedy)


def _path(loc):
    """Return a pydantic location as text, such as ``services[0].name``."""
    text = ""
    for part in loc:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else str(part)
    return text or WHOLE_DOCUMENT


def _display_value(path, value):
    """Return `value` as text for a message, shortened or hidden."""
    if any(word in path.lower() for word in _SECRET_WORDS):
        return "(hidden)"
    text = repr(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        return text[:MAX_VALUE_CHARACTERS] + "..."
    return text
