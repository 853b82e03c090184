"""Typed and checked settings of the daemons.

Example:
  >>> from fescuechute.settings import load_settings
  >>> load_settings("entry.toml").process.role  # doctest: +SKIP
  'entry'
"""

from fescuechute.checks import Address
from fescuechute.settings._deployment import NodeSettings, ServiceLevels, StoreSettings
from fescuechute.settings._load import load_settings, parse_settings
from fescuechute.settings._tables import (
    AgentSettings,
    ClaimSettings,
    EntrySettings,
    ExchangeSettings,
    LogSettings,
    MetricsSettings,
    NoteSettings,
    PlatformSettings,
    ProcessSettings,
    RankSettings,
    RetrySettings,
    ServiceSettings,
    Settings,
    TickSettings,
    WorkspaceSettings,
)

__all__ = [
    "Address",
    "AgentSettings",
    "ClaimSettings",
    "EntrySettings",
    "ExchangeSettings",
    "LogSettings",
    "MetricsSettings",
    "NodeSettings",
    "NoteSettings",
    "PlatformSettings",
    "ProcessSettings",
    "RankSettings",
    "RetrySettings",
    "ServiceLevels",
    "ServiceSettings",
    "Settings",
    "StoreSettings",
    "TickSettings",
    "WorkspaceSettings",
    "load_settings",
    "parse_settings",
]
