"""Shares and limits of teams, and their use at all entries."""

from __future__ import annotations

import attrs

from ..protocol._messages import TeamUsage
from ..resources._control_state import ControlState

# Costs are divided by the weight, so it must be above 0.
MIN_WEIGHT = 0.001


@attrs.frozen
class TeamQuota:
    """Share and limits of a team; a limit of 0 means no limit.

    Attributes:
        weight: Share of the slots relative to other teams that have work.
        burst: Number of tasks by which the team may run ahead after it was idle.
        running: Limit on tasks that run at a time at all entries.
        waiting: Limit on tasks that wait at one owner.
        waiting_bytes: Limit on the payload bytes of the tasks that wait at one owner.
    """

    weight: float = 1.0
    burst: int = 0
    running: int = 0
    waiting: int = 0
    waiting_bytes: int = 0


DEFAULT_QUOTA = TeamQuota()


def team_quota(control: ControlState, team: str) -> TeamQuota:
    """Return the quota that the `teams` resource declares, or the default."""
    resource = control.resources.get(("teams", team))
    if resource is None:
        return DEFAULT_QUOTA
    spec = resource.spec
    limits = spec.get("limits", {})
    return TeamQuota(
        weight=max(MIN_WEIGHT, float(spec.get("weight", 1.0))),
        burst=int(spec.get("burst", 0)),
        running=int(limits.get("running", 0)),
        waiting=int(limits.get("waiting", 0)),
        waiting_bytes=int(limits.get("waiting_bytes", 0)),
    )


@attrs.define
class OwnerUsage:
    """Use of a team through this owner.

    Attributes:
        waiting: Number of tasks in the backlog.
        waiting_bytes: Payload bytes of the tasks in the backlog.
        running: Number of tasks that are placed on a home.
        started: Number of tasks placed since the entry's start.
    """

    waiting: int = 0
    waiting_bytes: int = 0
    running: int = 0
    started: int = 0


@attrs.define
class TeamUsageTable:
    """Use of the teams at this entry and at its peers.

    The peers' use comes with their heartbeats; no message is sent for each task.

    Attributes:
        owner_usages: Use through this owner by team.
        peer_running: Number of running tasks at the peers, by team, from their last
            heartbeats.
        reports: Last report of each peer, by peer and team.
    """

    owner_usages: dict[str, OwnerUsage] = attrs.field(factory=dict)
    peer_running: dict[str, int] = attrs.field(factory=dict)
    reports: dict[str, dict[str, TeamUsage]] = attrs.field(factory=dict)

    def owner_usage(self, team: str) -> OwnerUsage:
        """Return the use of a team through this owner; creates an empty one."""
        usage = self.owner_usages.get(team)
        if usage is None:
            usage = self.owner_usages[team] = OwnerUsage()
        return usage

    def running(self, team: str) -> int:
        """Return the number of running tasks of a team at all entries."""
        usage = self.owner_usages.get(team)
        return self.peer_running.get(team, 0) + (usage.running if usage else 0)

    def usage_report(self) -> list[TeamUsage]:
        """Return the use of all teams through this owner, for a heartbeat."""
        return [
            TeamUsage(team, usage.running, usage.started)
            for team, usage in self.owner_usages.items()
        ]

    def update_peer_usage(
        self, peer: str, teams: dict[str, TeamUsage]
    ) -> dict[str, int]:
        """Apply a peer's report; an empty report removes the peer.

        Returns:
            Number of tasks that the peer started since its last report, by team.
        """
        before = self.reports.get(peer, {})
        started = {}
        for team in before.keys() | teams.keys():
            old, new = before.get(team), teams.get(team)
            change = (new.running if new else 0) - (old.running if old else 0)
            self.peer_running[team] = self.peer_running.get(team, 0) + change
            if not self.peer_running[team]:
                del self.peer_running[team]
            if old and new and new.started > old.started:
                started[team] = new.started - old.started
        if teams:
            self.reports[peer] = teams
        else:
            self.reports.pop(peer, None)
        return started
