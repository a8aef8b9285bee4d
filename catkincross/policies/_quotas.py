"""Teams' shares and limits, and their use at all entries."""

from __future__ import annotations

import attrs

from ..protocol._messages import TeamUsage
from ..resources._control_state import ControlState

LOWEST_WEIGHT = 0.001


@attrs.frozen
class Share:
    """What a team may use; 0 means that there is no limit.

    Attributes:
        weight: Share of the slots relative to other teams that have work.
        burst: Tasks by which the team may run ahead after it was idle.
        running: Most tasks at a time at all entries.
        waiting: Most tasks that wait at one owner.
        waiting_bytes: Most payload bytes of these tasks.
    """

    weight: float = 1.0
    burst: int = 0
    running: int = 0
    waiting: int = 0
    waiting_bytes: int = 0


DEFAULT_SHARE = Share()


def team_share(control: ControlState, team: str) -> Share:
    """Return what the `teams` resource declares for a team, or the default."""
    resource = control.resources.get(("teams", team))
    if resource is None:
        return DEFAULT_SHARE
    spec = resource.spec
    limits = spec.get("limits", {})
    return Share(
        weight=max(LOWEST_WEIGHT, float(spec.get("weight", 1.0))),
        burst=int(spec.get("burst", 0)),
        running=int(limits.get("running", 0)),
        waiting=int(limits.get("waiting", 0)),
        waiting_bytes=int(limits.get("waiting_bytes", 0)),
    )


@attrs.define
class OwnUse:
    """Use of a team through this owner.

    Attributes:
        waiting: Tasks in the backlog.
        waiting_bytes: Payload bytes of these tasks.
        running: Tasks that are placed on a home.
        started: Tasks placed since the entry's start.
    """

    waiting: int = 0
    waiting_bytes: int = 0
    running: int = 0
    started: int = 0


@attrs.define
class TeamTable:
    """Use of the teams here and at the other entries.

    No message is sent for a task: the use of the others comes with heartbeats.

    Attributes:
        own: Use through this owner by team.
        others: Running tasks at other entries by team, from their last heartbeats.
        reports: Last report of each peer by team.
    """

    own: dict[str, OwnUse] = attrs.field(factory=dict)
    others: dict[str, int] = attrs.field(factory=dict)
    reports: dict[str, dict[str, TeamUsage]] = attrs.field(factory=dict)

    def use(self, team: str) -> OwnUse:
        """Return the use of a team through this owner."""
        use = self.own.get(team)
        if use is None:
            use = self.own[team] = OwnUse()
        return use

    def running(self, team: str) -> int:
        """Return the running tasks of a team at all entries."""
        use = self.own.get(team)
        return self.others.get(team, 0) + (use.running if use else 0)

    def report(self) -> list[TeamUsage]:
        """Return the use through this owner for a heartbeat."""
        return [
            TeamUsage(team, use.running, use.started) for team, use in self.own.items()
        ]

    def peer_reported(self, peer: str, teams: dict[str, TeamUsage]) -> dict[str, int]:
        """Take a peer's report; an empty one forgets the peer.

        Returns:
            Tasks that the peer started since its last report, by team.
        """
        before = self.reports.get(peer, {})
        started = {}
        for team in before.keys() | teams.keys():
            old, new = before.get(team), teams.get(team)
            change = (new.running if new else 0) - (old.running if old else 0)
            self.others[team] = self.others.get(team, 0) + change
            if not self.others[team]:
                del self.others[team]
            if old and new and new.started > old.started:
                started[team] = new.started - old.started
        if teams:
            self.reports[peer] = teams
        else:
            self.reports.pop(peer, None)
        return started
