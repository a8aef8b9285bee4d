"""Records that expire while a shard changes hands, or while it keeps its owner."""

from __future__ import annotations

import attrs

from scenarios.platform_model import Model, job, ready_model

JOB = "5c0e7a21d94b36f8"
KEEP_MS = 9_000
# Below a third of the retention, after which an owner writes records again.
TAKEOVER_MS = 2_600


def model_with_short_retention(**options: int) -> Model:
    """Return a model whose store drops records after nine seconds."""
    model = ready_model(**options)
    model.store.keep_ms = KEEP_MS
    for host in model.owners.values():
        host.core.update_limits(attrs.evolve(host.core.state.limits, keep_ms=KEEP_MS))
    return model


def test_a_job_outlives_its_records_while_its_owners_change_often() -> None:
    """Each owner counted the age of a record from the time at which it had read it."""
    model = model_with_short_retention()
    spec = job(JOB, count=1)
    for machine in model.machines.values():
        machine.run_ms = 60_000
    model.submit("post", spec, model.owner_of(spec))
    for number in range(6):
        model.run(TAKEOVER_MS)
        model.deal_to([f"e{number % 2}"])
        model.run(50)
        state = model.owners[f"e{number % 2}"].core.state
        assert JOB in state.shard_for(JOB).jobs


def test_a_new_owner_waits_for_agents_that_were_recorded_long_ago() -> None:
    """Their record had expired, so it started tasks beside their first runs."""
    model = model_with_short_retention()
    model.run(2 * KEEP_MS)
    spec = job(JOB, count=3)
    owner = model.owner_of(spec)
    successor = "e1" if owner == "e0" else "e0"
    for machine in model.machines.values():
        machine.run_ms = 6_000
    model.submit("post", spec, owner)
    model.run(500)
    for agent in model.workers:
        model.cut.add((successor, agent))
    model.kill(owner)
    model.at(400, model.assign)
    model.at(700, lambda: model.cut.discard((successor, "u0")))
    model.at(1_600, model.cut.clear)
    model.run(20_000)
    assert model.overlapping() == []
    assert model.count("done") == 3


def test_a_job_with_much_progress_does_not_block_its_shard() -> None:
    """review/more/large_record: the log refused the record that was written again."""
    model = model_with_short_retention(agents=1)
    model.store.max_record_bytes = 4_096
    for host in model.owners.values():
        for shard in host.core.state.shards.values():
            shard.max_record_bytes = model.store.max_record_bytes
    model.machines["u0"].run_ms = 20
    large = job(JOB, count=150)
    owner = model.owner_of(large)
    model.submit("large", large, owner)
    # The last task outlives the time after which the job is written again.
    model.run(2_500)
    model.machines["u0"].run_ms = 10_000
    model.run(KEEP_MS // 2)
    model.machines["u0"].run_ms = 20
    later = attrs.evolve(large, id=JOB[:-1] + "c", steps=job("", count=1).steps)
    assert model.owner_of(later) == owner
    model.submit("later", later, owner)
    model.run(500)
    assert model.answers["later"].outcome == "accepted"
    # The next owner knows the same progress.
    done = model.count("done", JOB)
    model.deal_to(["e0" if owner == "e1" else "e1"])
    model.run(12_000)
    assert model.answers["large"].outcome == "accepted"
    assert model.count("start", JOB) <= 150 + 4
    assert done > 100
