"""Reload of the configuration at SIGHUP, while the program runs.

The configuration and the operator's files are read and validated completely before any of them is applied; if one is
invalid, nothing changes. Fields that a running process can't change keep their old values and are named in the log.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from aspensaddle.daemon.config import Config, ConfigSource
from aspensaddle.support.config_errors import ConfigError, RestartRequiredError
from aspensaddle.support.counters import Counters
from aspensaddle.support.log import Log

# Only a restart can change these fields, since the process and the requests in flight refer to them.
FIXED_FIELDS = ("name", "listen", "seed", "zones")
FIXED_SETTINGS = ("zone", "zone_count", "machine_types", "balancer_index", "polls_discovery", "pass_through")
CHANGEABLE_FIELDS = ("discovery", "limits", "known", "settings")

# Applies a validated operator's file and returns the names of the fields that need a restart.
ApplyFile = Callable[[], list[str]]
# Validates an operator's file against the new configuration without applying it; raises `ConfigError` if invalid.
PrepareFile = Callable[[Config], ApplyFile]


class ConfigReloader:
    """Owns the configuration in force.

    Attributes:
        config: The configuration in force.
    """

    def __init__(
        self,
        source: ConfigSource,
        config: Config,
        apply: Callable[[Config], None],
        counters: Counters,
        log: Log,
        with_stored_settings: Callable[[Config], Config] | None = None,
        operator_files: tuple[PrepareFile, ...] = (),
    ) -> None:
        """Create a reloader.

        Args:
            source: The source that configurations are read from.
            config: The configuration in force.
            apply: Applies a configuration to the parts of the process that use it.
            counters: Counters of the process.
            log: Log of the process.
            with_stored_settings: Replaces the settings by those in the store; None without a store.
            operator_files: Further files that are reloaded with the configuration.
        """
        self.config = config
        self._source = source
        self._apply = apply
        self._counters = counters
        self._log = log
        self._with_stored_settings = with_stored_settings
        self._operator_files = operator_files

    def reload(self) -> None:
        """Read the configuration and the operator's files again and apply them, or log why they are rejected."""
        self._counters.add("reloads_requested")
        try:
            config, needs_restart = self._keep_fixed_fields(self._read())
            prepared = [prepare(config) for prepare in self._operator_files]
        except ConfigError as error:
            self._counters.add("reloads_rejected")
            self._log.event("reload_rejected", error=str(error))
            return
        changed = _differing_fields(config, self.config, CHANGEABLE_FIELDS)
        self._apply(config)
        self.config = config
        for apply_file in prepared:
            needs_restart += apply_file()
        self._log.event("config_reloaded", changed=changed, needs_restart=needs_restart, discovery=config.discovery)

    def _read(self) -> Config:
        config = self._source.read()
        return config if self._with_stored_settings is None else self._with_stored_settings(config)

    def _keep_fixed_fields(self, new: Config) -> tuple[Config, list[str]]:
        """Return the new configuration as far as it can be applied, and the names of the fields that need a restart.

        Raises:
            RestartRequiredError: If a request class of the old configuration is missing or has another number.
        """
        old = self.config
        self._check_request_classes(new)
        needs_restart = _differing_fields(new, old, FIXED_FIELDS)
        needs_restart += [
            f"settings.{name}" for name in _differing_fields(new.settings, old.settings, FIXED_SETTINGS)
        ]
        settings = replace(new.settings, **{name: getattr(old.settings, name) for name in FIXED_SETTINGS})
        kept = replace(new, settings=settings, **{name: getattr(old, name) for name in FIXED_FIELDS})
        if (kept.discovery is None) != (old.discovery is None):
            needs_restart.append("discovery")
            kept = replace(kept, discovery=old.discovery)
        return kept, needs_restart

    def _check_request_classes(self, new: Config) -> None:
        # Requests in flight, and the QUIC front end, refer to a class by its number.
        classes = self.config.classes
        if list(new.classes.items())[: len(classes)] != list(classes.items()):
            raise RestartRequiredError(
                "settings.lanes", f"must begin with {', '.join(classes)}; only a restart can remove or reorder them"
            )


def _differing_fields(new: object, old: object, names: tuple[str, ...]) -> list[str]:
    return [name for name in names if getattr(new, name) != getattr(old, name)]
