"""The operators' configuration: its types, validation and comparison."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field
from result import Err, Ok, Result

from pimentolink import errors
from pimentolink.settings import Address, Count, Ratio, Seconds

Priority = Annotated[int, Meta(ge=0, le=9, description="0 is the most urgent")]
Role = Literal["mixed", "prefill", "decode"]


class WorkConfiguration(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True
):
    """
    A kind of work, which sets the priority and timeout of requests.

    :ivar priority: 0 (most urgent) to 9.
    :ivar patience: seconds after which a request times out.
    """

    priority: Priority
    patience: Seconds = 60.0


class ModelConfiguration(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True
):
    """
    A model.

    :ivar version: version that the engines run.
    :ivar adapters: names of the adapters that the engines load.
    """

    version: str
    adapters: list[str] = field(default_factory=list)


class ServiceConfiguration(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True
):
    """
    A service.

    :ivar kind: ``model`` for a service of engines, ``plain`` for any other.
    :ivar targets: names of its targets.
    :ivar models: names of the models that it runs.
    :ivar work: default kind of work of its requests.
    :ivar repeatable: whether its calls may be repeated.
    :ivar claim_partitions: number of partitions for the claims of its calls; stays as
        it was at the service's first claim.
    :ivar older_share: share of its requests that the older system serves.
    """

    kind: Literal["model", "plain"]
    targets: list[str]
    work: str
    models: list[str] = field(default_factory=list)
    repeatable: bool = True
    claim_partitions: Count = 8
    older_share: Ratio = 0.0


class TargetConfiguration(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True
):
    """
    A target.

    :ivar data_centre: data centre of the target.
    :ivar checks_fencing: whether it rejects orders with an outdated fencing token.
    :ivar orders_from: system that gives it orders: this one or the older one.
    :ivar role: initial role of an engine.
    :ivar drained: whether operators exclude it from new requests.
    """

    data_centre: str
    checks_fencing: bool = False
    orders_from: Literal["pimentolink", "older_system"] = "pimentolink"
    role: Role = "mixed"
    drained: bool = False


class DataCentreConfiguration(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True
):
    """
    A data centre.

    :ivar region: region of the data centre; roles of engines are planned per region.
    """

    region: str


class Configuration(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True
):
    """
    The configuration of a site, as written by operators.

    :ivar site: name of the site.
    :ivar data_centres: data centres by name.
    :ivar work: kinds of work by name.
    :ivar models: models by name.
    :ivar services: services by name.
    :ivar targets: targets by name.
    :ivar older_system: address of the older system, if it is still in use.
    """

    site: str
    data_centres: dict[str, DataCentreConfiguration]
    work: dict[str, WorkConfiguration]
    services: dict[str, ServiceConfiguration]
    targets: dict[str, TargetConfiguration]
    models: dict[str, ModelConfiguration] = field(default_factory=dict)
    older_system: Address | None = None

    def region_of(self, data_centre: str) -> str:
        """
        Return the region of a data centre.

        :param data_centre: name of the data centre.
        :returns: name of the region; empty if the data centre is unknown.
        """
        found = self.data_centres.get(data_centre)
        return found.region if found is not None else ""

    def service_of_model(self, model: str) -> str | None:
        """
        Return the service that runs a model.

        :param model: name of the model.
        :returns: name of the service; ``None`` if no service runs the model.
        """
        for name, service in self.services.items():
            if model in service.models:
                return name
        return None


class AcceptedConfiguration(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True
):
    """
    A configuration as stored in the key-value service.

    :ivar version: one more than the version that it replaced.
    :ivar change_id: unique ID of the change, by which its writer recognises it.
    :ivar previous: ``change_id`` of the replaced version; empty for the first.
    :ivar author: who applied the change.
    :ivar applied_at: time of the change, in ISO 8601 format.
    :ivar configuration: the configuration itself.
    """

    version: int
    change_id: str
    previous: str = ""
    author: str
    applied_at: str
    configuration: Configuration


def check(merged: dict[str, Any]) -> Result[Configuration, errors.ConfigurationInvalid]:
    """
    Validate a merged configuration.

    :param merged: base and overlays, merged into one JSON object.
    :returns: the configuration, or all errors found in it.
    """
    problems = list(_schema_problems(merged))
    if not problems:
        problems = list(_semantic_problems(msgspec.convert(merged, Configuration)))
    if problems:
        return Err(errors.ConfigurationInvalid(problems))
    return Ok(msgspec.convert(merged, Configuration))


_PROBLEM_TYPE_BY_KEYWORD: dict[str, type[errors.ConfigurationProblem]] = {
    "additionalProperties": errors.KeyUnknown,
    "required": errors.KeyMissing,
    "type": errors.TypeWrong,
    "anyOf": errors.TypeWrong,
}


def _schema_problems(merged: dict[str, Any]) -> Iterator[errors.ConfigurationProblem]:
    # Imported lazily: only operator commands need it, and daemons save its memory.
    from jsonschema import Draft202012Validator

    schema = msgspec.json.schema(Configuration)
    for violation in Draft202012Validator(schema).iter_errors(merged):
        path = "".join(f"/{part}" for part in violation.absolute_path)
        problem_type = _PROBLEM_TYPE_BY_KEYWORD.get(
            str(violation.validator), errors.ValueOutOfRange
        )
        yield problem_type(path, violation.message)


def _semantic_problems(
    configuration: Configuration,
) -> Iterator[errors.ConfigurationProblem]:
    yield from _assignment_problems(configuration)
    yield from _service_problems(configuration)
    for name, target in configuration.targets.items():
        if target.data_centre not in configuration.data_centres:
            yield errors.ReferenceUnknown(
                f"/targets/{name}/data_centre", f"no data centre {target.data_centre}"
            )
    older_targets = [
        name
        for name, target in configuration.targets.items()
        if target.orders_from == "older_system"
    ]
    if older_targets and configuration.older_system is None:
        yield errors.ReferenceUnknown(
            "/older_system", f"needed while {', '.join(older_targets)} belong to it"
        )


def _assignment_problems(
    configuration: Configuration,
) -> Iterator[errors.ConfigurationProblem]:
    service_by_target: dict[str, str] = {}
    for name, service in configuration.services.items():
        path = f"/services/{name}/targets"
        if not service.targets:
            yield errors.ServiceWithoutTarget(path, "a service needs a target")
        for index, target in enumerate(service.targets):
            if target not in configuration.targets:
                yield errors.ReferenceUnknown(f"{path}/{index}", f"no target {target}")
            elif target in service_by_target:
                yield errors.TargetAssignedTwice(
                    f"{path}/{index}",
                    f"{target} stands in {service_by_target[target]} already",
                )
            service_by_target[target] = name
    for target in configuration.targets:
        if target not in service_by_target:
            yield errors.TargetUnassigned(f"/targets/{target}", "in no service")


def _service_problems(
    configuration: Configuration,
) -> Iterator[errors.ConfigurationProblem]:
    service_by_model: dict[str, str] = {}
    for name, service in configuration.services.items():
        path = f"/services/{name}"
        if service.work not in configuration.work:
            yield errors.ReferenceUnknown(
                f"{path}/work", f"no kind of work {service.work}"
            )
        if service.older_share > 0 and configuration.older_system is None:
            yield errors.ReferenceUnknown(
                f"{path}/older_share", "no older_system to take the share"
            )
        if service.kind == "model" and not service.models:
            yield errors.KeyMissing(f"{path}/models", "a model service needs a model")
        for index, model in enumerate(service.models):
            if model not in configuration.models:
                yield errors.ReferenceUnknown(
                    f"{path}/models/{index}", f"no model {model}"
                )
            elif model in service_by_model:
                yield errors.ModelServedTwice(
                    f"{path}/models/{index}",
                    f"{service_by_model[model]} runs {model} already",
                )
            service_by_model[model] = name


def differences(
    old: dict[str, Any], new: dict[str, Any], path: str = ""
) -> Iterator[tuple[str, Any, Any]]:
    """
    Compare two configurations recursively.

    :param old: old JSON object.
    :param new: new JSON object.
    :param path: JSON pointer of both objects.
    :returns: JSON pointer, old value and new value of each difference; a value is
        ``None`` if the key is absent.
    """
    for key in sorted(old.keys() | new.keys()):
        before, after = old.get(key), new.get(key)
        key_path = f"{path}/{key}"
        if isinstance(before, dict) and isinstance(after, dict):
            yield from differences(before, after, key_path)
        elif before != after:
            yield key_path, before, after


def read_documents(
    paths: list[str],
) -> Result[list[dict[str, Any]], errors.ConfigurationInvalid]:
    """
    Read a base file and its overlays.

    :param paths: the base file, followed by the overlays.
    :returns: the JSON objects, or an error for each file that is invalid.
    """
    documents: list[dict[str, Any]] = []
    problems: list[errors.ConfigurationProblem] = []
    for path in paths:
        try:
            with open(path, encoding="utf-8") as file:
                document = json.load(file)
        except (OSError, ValueError) as error:
            problems.append(errors.NotJson(path, str(error)))
            continue
        if isinstance(document, dict):
            documents.append(document)
        else:
            problems.append(errors.NotJson(path, "not a JSON object"))
    if problems:
        return Err(errors.ConfigurationInvalid(problems))
    return Ok(documents)
