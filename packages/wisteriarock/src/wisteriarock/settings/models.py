"""Data types of the settings."""

from typing import NamedTuple, NotRequired, TypedDict


class PeerSetting(TypedDict):
    """Address at which this instance reaches another entry instance."""

    instance: str
    zone: str
    host: str
    port: int


class PeerKey(TypedDict):
    """A key for authenticating peers: the first in the list signs, all of them verify."""

    key_id: str
    secret: str


class TlsSetting(TypedDict):
    """Paths of PEM files for the public listener."""

    certificate_path: str
    key_path: str


class SettingsFile(TypedDict):
    """Contents of the settings file. `tunables` may hold the fields of `const.TUNABLES`."""

    instance: str
    zone: str
    public_host: str
    public_port: int
    internal_host: str
    internal_port: int
    peers: list[PeerSetting]
    peer_keys: list[PeerKey]
    operator_token: str
    operator_keys: dict[str, str]
    platform_url: str
    bundle_path: NotRequired[str]
    public_tls: NotRequired[TlsSetting]
    tunables: NotRequired[dict[str, float]]


class Tunables(NamedTuple):
    """Checked tunables; their ranges and defaults are in `const.TUNABLES`."""

    heartbeat_interval_ms: float
    suspect_after_ms: float
    handover_ms: float
    report_interval_ms: float
    report_timeout_ms: float
    connect_timeout_ms: float
    silence_suspect_ms: float
    clock_gap_ms: float
    peer_timeout_ms: float
    hedge_min_ms: float
    hedge_initial_ms: float
    hedge_quantile: float
    eject_after_failures: float
    eject_ms: float
    eject_max_share: float
    slow_start_ms: float
    ticket_lifetime_ms: float
    ticket_retention_ms: float
    max_tickets: float
    max_queries: float
    max_queued_per_endpoint: float
    max_buffered_mb: float
    caller_timeout_ms: float
    platform_timeout_ms: float
    platform_poll_interval_ms: float
    platform_calls_per_s: float
    drain_grace_ms: float


class Settings(NamedTuple):
    """Checked settings. `operator_keys` maps an operator to an Ed25519 public key in base64.

    `bundle_path` is the path of a signed bundle that is used if neither the platform nor a peer
    provides one at startup.
    """

    instance: str
    zone: str
    public_host: str
    public_port: int
    internal_host: str
    internal_port: int
    peers: tuple[PeerSetting, ...]
    peer_keys: tuple[PeerKey, ...]
    operator_token: str
    operator_keys: dict[str, str]
    platform_url: str
    bundle_path: str | None
    public_tls: TlsSetting | None
    tunables: Tunables


class SettingsError(NamedTuple):
    """Error in a settings file: the path of the field, the value found and the allowed values."""

    path: str
    found: str
    allowed: str
