"""Adapter to the users' platform: header names, record formats and HTTP calls.

Input is decoded once into the types of `fescuechute.catalog`, `fescuechute.feeds` and
`fescuechute.settings`; no other package knows the names used on the wire. The adapter makes no
routing or loading decisions.
"""

from fescuechute.platform._engine import EngineClient, LoadOrderOutcome, OriginClient
from fescuechute.platform._names import CONFIG_KEY, READY_PATH
from fescuechute.platform._records import (
    decode_configuration,
    decode_operator_record,
    decode_registration,
    decode_report,
    evacuated_data_centre,
    is_operator_record,
    is_version_declaration,
    operator_record_rank,
)
from fescuechute.platform._requests import (
    decode_request,
    decode_response_meta,
    encode_forwarded_headers,
    is_response_to,
)
from fescuechute.platform._settings import (
    SETTINGS_VARIABLE,
    load_node_settings,
    parse_node_settings,
)
from fescuechute.platform._store import StoreClient, Topic, decode_snapshot, snapshot_path

__all__ = [
    "CONFIG_KEY",
    "READY_PATH",
    "SETTINGS_VARIABLE",
    "EngineClient",
    "LoadOrderOutcome",
    "OriginClient",
    "StoreClient",
    "Topic",
    "decode_configuration",
    "decode_operator_record",
    "decode_registration",
    "decode_report",
    "decode_request",
    "decode_response_meta",
    "decode_snapshot",
    "encode_forwarded_headers",
    "evacuated_data_centre",
    "is_operator_record",
    "is_response_to",
    "is_version_declaration",
    "load_node_settings",
    "operator_record_rank",
    "parse_node_settings",
    "snapshot_path",
]
