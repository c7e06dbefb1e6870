"""New configurations while the program runs.

At SIGHUP the configuration and the operator's files are read and validated whole beside those in force. If one
can't be used, nothing changes, of the others neither. What a running process can't change keeps its old value and is
named in the log.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from aspensaddle.daemon.config import Config, ConfigSource
from aspensaddle.support.counters import Counters
from aspensaddle.support.files import ConfigError
from aspensaddle.support.log import Log

# What the process, or the numbers of all that it has in hand, are made of.
FIXED = ("name", "listen", "seed", "zones")
FIXED_SETTINGS = ("zone", "zone_count", "machine_types", "balancer_index", "polls_discovery", "pass_through")


# An operator's file read anew, for the configuration that will be in force; what puts it in force returns the names
# of what needs a restart. Raises `ConfigError`, and changes nothing by itself.
Prepare = Callable[[Config], Callable[[], list[str]]]


class Reload:
    """Owns the configuration in force; `swap` puts another into the parts that use it."""

    def __init__(
        self,
        source: ConfigSource,
        config: Config,
        swap: Callable[[Config], None],
        counters: Counters,
        log: Log,
        stored: Callable[[Config], Config] | None = None,
        files: tuple[Prepare, ...] = (),
    ) -> None:
        self._files = files
        self._source, self.config, self._swap = source, config, swap
        self._counters, self._log, self._stored = counters, log, stored

    def run(self) -> None:
        self._counters.add("reloads")
        try:
            config, kept = self._fit(self._read())
            prepared = [prepare(config) for prepare in self._files]
        except ConfigError as e:
            self._counters.add("reloads refused")
            self._log.event("reload refused", why=str(e))
            return
        changed = [
            n for n in ("discovery", "limits", "known", "settings") if getattr(config, n) != getattr(self.config, n)
        ]
        self._swap(config)
        self.config = config
        for put_in_force in prepared:
            kept += put_in_force()
        self._log.event("reloaded", changed=changed, needs_restart=kept, discovery=config.discovery)

    def _read(self) -> Config:
        config = self._source.read()
        return config if self._stored is None else self._stored(config)

    def _fit(self, new: Config) -> tuple[Config, list[str]]:
        """The new configuration as far as it can be put in force, and the fields that need a restart."""
        old = self.config
        # Requests in hand, and the QUIC front, know a class by its number.
        if list(new.classes.items())[: len(old.classes)] != list(old.classes.items()):
            raise ConfigError(
                f"settings.lanes: must begin with {', '.join(old.classes)}; only a restart can remove or reorder them"
            )
        kept = [n for n in FIXED if getattr(new, n) != getattr(old, n)]
        kept += [f"settings.{n}" for n in FIXED_SETTINGS if getattr(new.settings, n) != getattr(old.settings, n)]
        settings = replace(new.settings, **{n: getattr(old.settings, n) for n in FIXED_SETTINGS})
        new = replace(new, settings=settings, **{n: getattr(old, n) for n in FIXED})
        if (new.discovery is None) != (old.discovery is None):
            kept.append("discovery")
            new = replace(new, discovery=old.discovery)
        return new, kept
