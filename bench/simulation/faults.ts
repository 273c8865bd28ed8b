import type { RandomSource } from "../../src/runtime/random-source.ts";
import type { World } from "./world.ts";

/** The kinds of faults that can be injected. */
export const FAULT_KINDS = [
  "kill-node",
  "freeze-node",
  "cut-node-out",
  "cut-node-in",
  "isolate-node",
  "drain-node",
  "kill-engine",
  "freeze-engine",
  "engine-leaves",
  "kill-ingress",
  "table-outage",
  "table-slow",
  "table-loses-answers",
  "list-outage",
  "platform-outage",
  "network-loss",
  "network-duplicates",
  "network-reorders",
  "service-hangs",
] as const;

/** The kind of a fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** A fault with its start and duration. */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly durationMs: number;
  /** Selects the machine: an index, modulo the number of machines of that kind. */
  readonly target: number;
}

const MIN_DURATION_MS = 500;
const MAX_DURATION_MS = 9_000;
/** Time without faults after a pair of faults, in which lost replicas are replaced. */
const RECOVERY_MS = 14_000;
const PAIR_SPREAD_MS = 1_500;

/** Draws a plan of pairs of faults that are close together, with time to recover between the pairs. */
export function drawFaultPlan(
  random: RandomSource,
  startMs: number,
  endMs: number,
  kinds: readonly FaultKind[],
): Fault[] {
  const plan: Fault[] = [];
  let atMs = startMs;
  while (atMs < endMs - RECOVERY_MS) {
    const first = drawFault(random, atMs, kinds);
    const second = drawFault(random, atMs + random.below(PAIR_SPREAD_MS), kinds);
    plan.push(first, second);
    atMs += MAX_DURATION_MS + RECOVERY_MS;
  }
  return plan;
}

function drawFault(random: RandomSource, atMs: number, kinds: readonly FaultKind[]): Fault {
  return {
    kind: kinds[random.below(kinds.length)],
    atMs,
    durationMs: MIN_DURATION_MS + random.below(MAX_DURATION_MS - MIN_DURATION_MS),
    target: random.below(1_000),
  };
}

/** Schedules the start and the end of each fault of a plan. */
export function scheduleFaults(world: World, plan: readonly Fault[]): void {
  for (const fault of plan) {
    world.time.after(fault.atMs - world.time.nowMs, () => {
      const undo = startFault(world, fault);
      world.note(`fault ${fault.kind} of ${fault.target} for ${fault.durationMs} ms`);
      world.time.after(fault.durationMs, () => {
        undo();
        world.note(`fault ${fault.kind} of ${fault.target} ends`);
      });
    });
  }
}

function startFault(world: World, { kind, target }: Fault): () => void {
  const node = world.nodes[target % world.nodes.length];
  const engine = world.engines[target % world.engines.length];
  const ingress = world.ingresses[target % world.ingresses.length];
  const service = world.services[target % world.services.length];
  const { table, machineList, objects } = world.platform;
  const { network } = world;
  switch (kind) {
    case "kill-node":
      world.killNode(node);
      return () => world.restartNode(node);
    case "freeze-node":
      node.process.freeze();
      return () => node.process.wake();
    case "cut-node-out":
      network.cut(node.name, "*");
      return () => network.heal(node.name, "*");
    case "cut-node-in":
      network.cut("*", node.name);
      return () => network.heal("*", node.name);
    case "isolate-node":
      network.cut(node.name, "*");
      network.cut("*", node.name);
      return () => {
        network.heal(node.name, "*");
        network.heal("*", node.name);
      };
    case "drain-node": {
      const leaving = node.process;
      void node.daemon.drain().then(() => leaving.kill());
      return () => {
        if (node.process !== leaving) return;
        leaving.kill();
        world.restartNode(node);
      };
    }
    case "kill-engine":
      engine.process.kill();
      return () => engine.restart();
    case "freeze-engine": {
      const frozen = engine.process;
      frozen.freeze();
      return () => frozen.wake();
    }
    case "engine-leaves":
      world.listEngine(engine, "leaving");
      engine.leavingSinceMs = world.time.nowMs;
      return () => {
        engine.leavingSinceMs = undefined;
        world.listEngine(engine, "live");
      };
    case "kill-ingress":
      ingress.process.kill();
      return () => world.restartIngress(ingress);
    case "table-outage":
      return setCondition(table.conditions, "outage", true);
    case "table-slow":
      return setCondition(table.conditions, "slowMs", 400);
    case "table-loses-answers":
      return setCondition(table.conditions, "lostAnswers", 0.5);
    case "list-outage":
      return setCondition(machineList.conditions, "outage", true);
    case "platform-outage": {
      const undo = [table, machineList, objects].map((service) =>
        setCondition(service.conditions, "outage", true),
      );
      return () => {
        for (const one of undo) one();
      };
    }
    case "network-loss":
      return setCondition(network.conditions, "loss", 0.1);
    case "network-duplicates":
      return setCondition(network.conditions, "duplication", 0.3);
    case "network-reorders":
      return setCondition(network.conditions, "reordering", 0.3);
    case "service-hangs":
      service.hanging = true;
      return () => {
        service.hanging = false;
      };
  }
}

function setCondition<Conditions extends object, Key extends keyof Conditions>(
  conditions: Conditions,
  key: Key,
  value: Conditions[Key],
): () => void {
  const calm = INITIAL_CONDITIONS.get(conditions) ?? { ...conditions };
  INITIAL_CONDITIONS.set(conditions, calm);
  conditions[key] = value;
  return () => {
    conditions[key] = (calm as Conditions)[key];
  };
}

/** Conditions before any fault, to be restored even if two faults of one kind overlap. */
const INITIAL_CONDITIONS = new WeakMap<object, object>();
