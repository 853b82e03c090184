"""Decoding of store records, engine reports and manifests."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from fescuechute.catalog import (
    ClientLimits,
    Configuration,
    EngineProfile,
    EngineReport,
    Evacuation,
    LoadedModel,
    Registration,
    RetryPolicy,
    Route,
    Service,
    UpstreamState,
    VersionDeclaration,
    WeightedService,
    Workspace,
)
from fescuechute.checks import INVALID, Address, Findings, IpPort
from fescuechute.errors import PlatformError
from fescuechute.platform._names import CONFIG_KEY, EVACUATION_KEY_PREFIX, VERSION_KEY_PREFIX

_SECONDS_PER_MS = 1e-3
_MEGA = 1e6
_SHA256_BYTES = 32
#: Largest whole number and largest absolute value of a number in a record. Whole numbers are passed
#: on in msgpack, which holds 64 bits; sums and products of the others stay finite.
_MAX_INTEGER = (1 << 63) - 1
_MAX_NUMBER = 1e15
#: Maximum length of the detail of an error, in characters; records may hold any text.
_MAX_DETAIL_CHARS = 200
_RETRY_POLICY_BY_KIND = {
    "idempotent": RetryPolicy.IDEMPOTENT,
    "non_idempotent": RetryPolicy.ONCE,
    "streaming": RetryPolicy.STREAM,
}


def decode_operator_record(
    key: str, value: bytes
) -> Configuration | VersionDeclaration | Evacuation | None:
    """Decodes a record written by operators; returns None for a record kind that is not used.

    Raises:
      PlatformError: The record is malformed.
    """
    if key == CONFIG_KEY:
        return decode_configuration(value)
    if is_version_declaration(key):
        return _decode(
            lambda body: VersionDeclaration(_text(body["model"]), _integer(body["version"])),
            key,
            value,
        )
    # The key says it all; whatever the value holds, the data centre is to be evacuated.
    data_centre = evacuated_data_centre(key)
    return None if data_centre is None else Evacuation(data_centre)


def operator_record_rank(key: str, value: bytes) -> int | None:
    """Returns the version in a configuration or a declaration, which their writers never lower.

    Returns:
      The version; None for records of other kinds and for malformed ones.
    """
    if key != CONFIG_KEY and not is_version_declaration(key):
        return None
    try:
        version: int = _decode(lambda body: _integer(body["version"]), key, value)
    except PlatformError:
        return None
    return version


def decode_configuration(value: bytes) -> Configuration:
    """Decodes a configuration.

    Raises:
      PlatformError: It is malformed.
    """
    return _decode(_parse_configuration, CONFIG_KEY, value)


def is_operator_record(key: str) -> bool:
    """Returns whether `decode_operator_record` decodes the records of a key."""
    is_evacuation = evacuated_data_centre(key) is not None
    return key == CONFIG_KEY or is_version_declaration(key) or is_evacuation


def evacuated_data_centre(key: str) -> str | None:
    """Returns the data centre that an operators' record with a key evacuates, or None."""
    return (
        key.removeprefix(EVACUATION_KEY_PREFIX) if key.startswith(EVACUATION_KEY_PREFIX) else None
    )


def is_version_declaration(key: str) -> bool:
    """Returns whether an operators' record with a key declares a version."""
    return key.startswith(VERSION_KEY_PREFIX)


def decode_registration(key: str, value: bytes) -> Registration:
    """Decodes the registry entry of a replica; the key is its instance id.

    Raises:
      PlatformError: The entry is malformed, so the replica cannot be used.
    """
    return _decode(lambda body: _parse_registration(key, body), key, value)


def decode_report(value: bytes) -> EngineReport:
    """Decodes the load report of an engine.

    Raises:
      PlatformError: The report is malformed.
    """
    return _decode(_parse_report, "report", value)


def decode_manifest(value: bytes, model: str, version: int) -> tuple[bytes, ...]:
    """Returns the SHA-256 digests of the chunks of a version.

    Raises:
      PlatformError: The manifest is malformed or belongs to another version.
    """

    def parse(body: Mapping[str, Any]) -> tuple[bytes, ...]:
        if body["model"] != model or body["version"] != version:
            raise ValueError(f"it is of {body['model']} {body['version']}")
        digests = tuple(bytes.fromhex(text) for text in body["digests"])
        if not digests or any(len(digest) != _SHA256_BYTES for digest in digests):
            raise ValueError("a digest is not SHA-256")
        return digests

    return _decode(parse, "manifest", value)


def _decode(parse: Any, key: str, value: bytes) -> Any:
    try:
        body = json.loads(value)
        if not isinstance(body, Mapping):
            raise ValueError("it is no object")
        return parse(body)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as exc:
        raise PlatformError(
            f"The record {_excerpt(key)} cannot be read: {type(exc).__name__}: {_excerpt(exc)}.",
            "Correct it at its writer; until then the record before it holds.",
        ) from exc


def _excerpt(value: object) -> str:
    """Returns the start of a text in ASCII; surrogates could not be written to logs and metrics."""
    text = str(value).encode("ascii", "backslashreplace").decode()
    return text if len(text) <= _MAX_DETAIL_CHARS else f"{text[:_MAX_DETAIL_CHARS]}..."


def _parse_configuration(body: Mapping[str, Any]) -> Configuration:
    limits = body.get("limits") or {}
    services = [_parse_service(item) for item in body["services"]]
    return Configuration(
        version=_integer(body["version"]),
        routes=tuple(_parse_route(item) for item in body["routes"]),
        services={service.name: service for service in services},
        limits=ClientLimits(
            header_bytes=_integer(limits.get("max_header_bytes", 16384)),
            body_bytes=_integer(limits.get("max_body_bytes", 1 << 20)),
            header_s=_number(limits.get("header_timeout_ms", 3000)) * _SECONDS_PER_MS,
            idle_s=_number(limits.get("idle_timeout_ms", 15000)) * _SECONDS_PER_MS,
        ),
        workspaces=tuple(
            Workspace(
                _field_value(item["name"]),
                _parse_keys(item),
                # Overrides the rank of the route.
                None if item.get("priority") is None else _integer(item["priority"]),
                _parse_allowed_regions(item),
            )
            for item in body.get("tenants") or ()
        ),
    )


def _parse_route(item: Mapping[str, Any]) -> Route:
    split = item.get("split")
    if split:
        services = tuple(
            WeightedService(_text(part["service"]), _number(part["weight"])) for part in split
        )
    else:
        services = (WeightedService(_text(item["service"]), 1.0),)
    timeout_s = _number(item.get("timeout_ms", 10_000)) * _SECONDS_PER_MS
    return Route(
        name=_text(item.get("name", "")),
        host=_text(item["host"]),
        prefix=_text(item["path_prefix"]),
        retry_policy=_RETRY_POLICY_BY_KIND[item.get("kind", "non_idempotent")],
        services=services,
        timeout_s=timeout_s,
        target_latency_s=_number(item.get("target_latency_ms", timeout_s / _SECONDS_PER_MS))
        * _SECONDS_PER_MS,
        # Despite its name, `gap_aim_ms` is the longest allowed pause between events, not a target.
        max_event_gap_s=_number(item.get("gap_aim_ms", 0)) * _SECONDS_PER_MS,
        rank=_integer(item.get("priority", 0)),
        max_upstreams=max(1, _integer(item.get("max_attempts", 1))),
        anonymous=bool(item.get("anonymous", False)),
        resumable=bool(item.get("can_resume", False)),
        regions=_parse_allowed_regions(item),
    )


def _parse_allowed_regions(item: Mapping[str, Any]) -> frozenset[str]:
    regions = item.get("regions_allowed") or []
    if not isinstance(regions, list):
        raise TypeError(f"{regions!r:.80} is no list of regions")
    return frozenset(_text(region) for region in regions)


def _parse_keys(item: Mapping[str, Any]) -> tuple[str, ...]:
    keys = item.get("api_keys") or []
    # Errors go to logs, where no part of a key may be read.
    if not isinstance(keys, list):
        raise TypeError("the keys of a workspace are no list")
    return tuple(_secret(key) for key in keys)


def _parse_service(item: Mapping[str, Any]) -> Service:
    origin = item.get("origin")
    return Service(
        name=_text(item["name"]),
        health_path=_text(item.get("health_path", "/")),
        max_connections=_integer(item.get("max_conns", 1)),
        engine=_parse_engine_profile(item["engine"]) if item.get("engine") else None,
        origin=_parse_address(origin) if origin else None,
        # The platform calls a data centre a zone.
        data_centre=_text(item.get("zone", "")),
        link_bits_s=_number(item.get("link_mbps", 0)) * _MEGA,
        cold_s=_number(item.get("cold_s", 0)),
        cold_requests_per_s=_number(item.get("cold_per_s", 0)),
    )


def _parse_engine_profile(item: Mapping[str, Any]) -> EngineProfile:
    models = item.get("models") or [{}]
    usual = item.get("usual") or {}
    return EngineProfile(
        slots=_integer(item["slots"], at_least=1),
        kv_capacity_tokens=_integer(item["kv_capacity"]),
        step_s=_number(item["step_ms"]) * _SECONDS_PER_MS,
        step_per_request_s=_number(item.get("per_seq_ms", 0)) * _SECONDS_PER_MS,
        # `context_per_k` is in milliseconds per 1,000 tokens.
        step_per_token_s=_number(item.get("context_per_k", 0)) * _SECONDS_PER_MS / 1000,
        prefill_tokens_per_s=_positive(item["read_per_s"]),
        # `pairs_per_m` is in milliseconds per million token pairs.
        prefill_per_pair_s=_number(item.get("pairs_per_m", 0)) * _SECONDS_PER_MS / 1e6,
        stride=_integer(item.get("stride", 1)),
        prefill_chunk_tokens=_integer(item.get("chunk", 2048)),
        mean_prompt_tokens=_number(usual.get("prompt", 0)),
        mean_output_tokens=_number(usual.get("answer", 0)),
        model=_text(models[0].get("name", "")),
        # `load_s` of the platform counts reading from its own storage; staged weights take this.
        load_s=_number(models[0].get("warmup_s", 0)),
        chunks=_integer(item.get("chunks", 0)),
        chunk_bytes=_integer(item.get("chunk_bytes", 0)),
        layers=_integer(item.get("layers", 1)),
    )


def _parse_registration(key: str, body: Mapping[str, Any]) -> Registration:
    return Registration(
        # Requests name the replica in a header field.
        instance=_field_value(key),
        service=_text(body["service"]),
        address=_parse_address(body["address"]),
        data_centre=_text(body["zone"]),
        state=UpstreamState(body["state"]),
        slots=_integer(body.get("slots", 1), at_least=0),
        models=_parse_models(body),
        born_ms=_integer(body.get("born", 0)),
        cold_left_s=_number(body.get("cold_left_ms", 0)) * _SECONDS_PER_MS,
        heartbeats=_integer(body["sequence"]) if "sequence" in body else None,
    )


def _parse_report(body: Mapping[str, Any]) -> EngineReport:
    return EngineReport(
        models=_parse_models(body),
        loading=bool(body.get("busy", False)),
        orders=_integer(body["sequence"]) if "sequence" in body else None,
        waiting=_integer(body.get("queued", 0)),
        running=_integer(body.get("active", 0)),
        kv_used_tokens=_integer(body.get("kv_used", 0)),
        kv_total_tokens=_integer(body.get("kv_total", 0)),
        relative_step_time=_positive(body.get("pace", 1.0)),
        born_ms=_integer(body.get("born", 0)),
    )


def _parse_models(body: Mapping[str, Any]) -> tuple[LoadedModel, ...]:
    layers = body.get("layers")
    # An engine that has unloaded a model still lists it, but with an empty layer range.
    if isinstance(layers, Mapping) and layers.get("from") == layers.get("to"):
        return ()
    return tuple(
        LoadedModel(_text(item["name"]), _integer(item["version"]))
        for item in body.get("models") or ()
    )


def _parse_address(value: object) -> Address:
    findings = Findings("")
    address = IpPort().read(value, "address", findings)
    if address is INVALID:
        raise ValueError(findings.problems[0].found)
    if ":" in address.ip:
        raise ValueError(f"{address} is no IPv4 address")
    return address


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r:.80} is no text")
    # Fails for surrogates, which neither msgpack nor a header field can hold.
    value.encode()
    return value


def _secret(value: object) -> str:
    """Returns a text; the error for anything else does not show it."""
    try:
        return _text(value)
    except (TypeError, UnicodeError):
        raise TypeError("a key is no text") from None


def _field_value(value: object) -> str:
    """Returns a text that can be the value of a header field."""
    text = _text(value)
    if not text or not text.isprintable() or text != text.strip():
        raise ValueError(f"{text!r:.80} is no value of a header field")
    return text


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r:.80} is no number")
    if not -_MAX_NUMBER <= value <= _MAX_NUMBER:
        raise ValueError(f"{value!r:.80} is out of range")
    return float(value)


def _positive(value: object) -> float:
    number = _number(value)
    if number <= 0.0:
        raise ValueError(f"{number} is not positive")
    return number


def _integer(value: object, at_least: int = -_MAX_INTEGER) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r:.80} is no whole number")
    if not at_least <= value <= _MAX_INTEGER:
        raise ValueError(f"{value!r:.80} is out of range")
    return value
