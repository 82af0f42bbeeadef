"""Offer the settings of a daemon, their loading and their problems."""

from cowslipshelf_platform.internal.settings.addresses import (
    AddressError,
    NetworkAddress,
    parse_address,
)
from cowslipshelf_platform.internal.settings.documents import (
    DaemonSettings,
    EntryAddress,
    EntrySettings,
    LimitSettings,
    LogSettings,
    Role,
    SidecarSettings,
    TimingSettings,
    UpstreamSettings,
)
from cowslipshelf_platform.internal.settings.loading import (
    decode_settings,
    load_settings,
)
from cowslipshelf_platform.internal.settings.problems import SettingsProblem

__all__ = [
    "AddressError",
    "DaemonSettings",
    "EntryAddress",
    "EntrySettings",
    "LimitSettings",
    "LogSettings",
    "NetworkAddress",
    "Role",
    "SettingsProblem",
    "SidecarSettings",
    "TimingSettings",
    "UpstreamSettings",
    "decode_settings",
    "load_settings",
    "parse_address",
]
