"""The whole check of one configuration."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from redwingswitch._internal.exceptions import Finding
from redwingswitch._internal.platform.configuration_check.changes import (
    ConfigurationChange,
    find_changes,
)
from redwingswitch._internal.platform.configuration_check.decoding_rules import (
    check_decoding,
    check_ignored_fields,
)
from redwingswitch._internal.platform.configuration_check.document import (
    OperatorsConfiguration,
    read_configuration,
)
from redwingswitch._internal.platform.configuration_check.findings import CheckFindings
from redwingswitch._internal.platform.configuration_check.in_force import InForce
from redwingswitch._internal.platform.configuration_check.later_steps import check_later_steps
from redwingswitch._internal.platform.configuration_check.route_rules import check_routes
from redwingswitch._internal.platform.configuration_check.server_rules import (
    check_servers,
    check_slow_start,
    check_version,
)
from redwingswitch._internal.utils.json_lines import find_json_places


class CheckReport(NamedTuple):
    """All findings on a configuration, what was not checked, and its changes.

    ``version_in_force`` is None if it is not known. ``changes`` is empty if the hosts reject the
    configuration.
    """

    errors: list[Finding]
    warnings: list[Finding]
    not_checked: list[str]
    version: int | None
    version_in_force: int | None
    changes: list[ConfigurationChange]


def check_configuration(
    *,
    file: str,
    value: bytes,
    in_force: InForce | None,
    requests_per_s_by_route: Mapping[str, float],
) -> CheckReport:
    """Check the content ``value`` of a file against the hosts' decoder and what is in force."""
    findings = CheckFindings(file=file, places=find_json_places(value.decode(errors="replace")))
    configuration = read_configuration(value)
    check_decoding(value, findings)
    if not findings.has_syntax_error:
        check_later_steps(configuration, findings)
        check_ignored_fields(value, findings)
        check_routes(configuration, findings)
    if in_force is not None and not findings.has_syntax_error:
        check_version(configuration, in_force, findings)
        check_servers(configuration, in_force, findings)
        check_slow_start(configuration, in_force, requests_per_s_by_route, findings)
    current = None if in_force is None else in_force.configuration
    is_comparable = (
        in_force is not None
        and configuration.table is not None
        and (current is None or current.table is not None)
    )
    return CheckReport(
        errors=findings.errors(),
        warnings=findings.warnings(),
        not_checked=(
            ["all other rules: the file is not JSON"]
            if findings.has_syntax_error
            else _list_unchecked(configuration, in_force, has_demand=bool(requests_per_s_by_route))
        ),
        version=configuration.version,
        version_in_force=(
            None if current is None or current.table is None else current.table.version
        ),
        changes=find_changes(current, configuration) if is_comparable else [],
    )


def _list_unchecked(
    configuration: OperatorsConfiguration, in_force: InForce | None, *, has_demand: bool
) -> list[str]:
    unchecked = []
    current = None if in_force is None else in_force.configuration
    if in_force is None:
        unchecked.append("the version and the changes: give --current or --store")
    elif current is None:
        unchecked.append("the version: no configuration is in force")
    elif current.table is None:
        unchecked.append("the version and the changes: the hosts reject what is in the store")
    elif configuration.table is None:
        unchecked.append("the changes: the hosts reject the file")
    if in_force is None or not in_force.servers:
        unchecked.append("the servers of each service: none is known; give --store")
    if not has_demand or in_force is None or not in_force.servers:
        unchecked.append("slow-start rates: give --demand and --store")
    return unchecked
