/**
 * Three replicas of a counter in one process: they elect a leader, commit two commands and apply them on every replica.
 */
import { type Member, ShardGroup } from "../../src/coordination/shard-group/index.ts";

const members: Member[] = ["a", "b", "c"].map((name) => ({ instance: name, address: name, zone: name }));
const groups = new Map(
  members.map((self, seed) => [self.instance, new ShardGroup<number>({ self, seed }, 0)]),
);
const totals = new Map(members.map((self) => [self.instance, 0]));

function run(name: string, nowMs: number): void {
  for (const effect of groups.get(name)?.takeEffects() ?? []) {
    if (effect.type === "send") {
      groups.get(effect.to.instance)?.receive(effect.message, nowMs);
      run(effect.to.instance, nowMs);
    } else if (effect.type === "apply") {
      for (const { payload } of effect.entries) {
        if (payload.type === "command") totals.set(name, (totals.get(name) ?? 0) + payload.command);
      }
    }
  }
}

/** Runs the example; returns the total of each replica. */
export function runShardGroupExample(): number[] {
  for (const [name, group] of groups) {
    group.bootstrap(members);
    run(name, 0);
  }
  for (let nowMs = 0; nowMs < 5_000; nowMs += 50) {
    for (const [name, group] of groups) {
      group.tick(nowMs);
      if (nowMs === 4_000 && group.isReadyLeader) for (const command of [2, 3]) group.propose(command, nowMs);
      group.flush(nowMs);
      run(name, nowMs);
    }
  }
  return [...totals.values()];
}
