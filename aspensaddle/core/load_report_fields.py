"""Names of load report fields on the platform, and their conversion to a `LoadReport`."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from aspensaddle.core.events import LoadReport

UTILIZATION_FIELD = "x0"
CONNECTIONS_FIELD = "inflight"
NOT_REPORTED = -1.0  # out of range, so that a report without this field is rejected as a whole


def parse_load_report(fields: Mapping[str, float]) -> LoadReport:
    """Return the load report with the given fields. Unknown fields are ignored."""
    return LoadReport(
        utilization=fields.get(UTILIZATION_FIELD, NOT_REPORTED),
        connections=fields.get(CONNECTIONS_FIELD, NOT_REPORTED),
    )


def has_load_fields(field_names: Iterable[str]) -> bool:
    """Return whether reports with these fields contain the load that all balancers together place on a server."""
    return {UTILIZATION_FIELD, CONNECTIONS_FIELD} <= set(field_names)
