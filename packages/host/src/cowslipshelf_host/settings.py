"""Load and check the settings of a daemon."""

from cowslipshelf_host.internal.settings.addresses import (
    AddressError,
    NetworkAddress,
    parse_address,
)
from cowslipshelf_host.internal.settings.documents import (
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
from cowslipshelf_host.internal.settings.fleet_checks import (
    LoadedSettings,
    fleet_problems,
)
from cowslipshelf_host.internal.settings.loading import (
    decode_settings,
    load_settings,
)
from cowslipshelf_host.internal.settings.problems import SettingsProblem

__all__ = [
    "AddressError",
    "DaemonSettings",
    "EntryAddress",
    "EntrySettings",
    "LimitSettings",
    "LoadedSettings",
    "LogSettings",
    "NetworkAddress",
    "Role",
    "SettingsProblem",
    "SidecarSettings",
    "TimingSettings",
    "UpstreamSettings",
    "decode_settings",
    "fleet_problems",
    "load_settings",
    "parse_address",
]
