"""List the models that a customer may use, in the published JSON shape."""

import msgspec

from cowslipshelf_callers.internal.answer_writer import AnswerWriter
from cowslipshelf_callers.internal.call import ServedModel
from cowslipshelf_core.errors import Refusal

JSON_HEADERS = (("Content-Type", "application/json"),)
OK = 200


class ListedModel(msgspec.Struct, frozen=True):
    """Describe one model; `owned_by` is the name of its service."""

    id: str
    owned_by: str
    object: str = "model"
    created: int = 0


class ModelList(msgspec.Struct, frozen=True):
    """Hold the list of models in the published JSON shape."""

    data: tuple[ListedModel, ...]
    object: str = "list"


def write_models(
    models: tuple[ServedModel, ...] | Refusal, writer: AnswerWriter
) -> None:
    """Write the list of models, or the refusal in place of it."""
    if isinstance(models, Refusal):
        writer.refusal(models, False)
        return
    listed = tuple(ListedModel(entry.model, entry.service) for entry in models)
    writer.head(OK, JSON_HEADERS)
    writer.chunk(msgspec.json.encode(ModelList(listed)))
    writer.end()
