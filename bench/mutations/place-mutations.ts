/** Mutations of how scarce places on runners are allocated; contract tests on virtual time must detect them. */
import type { Mutation } from "./mutation.ts";

const LOAD_TEST = "test/contract/place-load.test.ts";
const DISPATCHER_TEST = "test/contract/place-dispatcher.test.ts";
const CLUSTER_TEST = "test/contract/places.test.ts";

export const PLACE_MUTATIONS: readonly Mutation[] = [
  {
    guarantee: "places",
    name: "places: a lease does not occupy a place",
    edits: [
      {
        file: "src/scheduling/place-queue/lease-table.ts",
        from: "usage.leases += sign;",
        to: "usage.leases += 0 * sign;",
      },
    ],
    script: CLUSTER_TEST,
    args: [],
  },
  {
    guarantee: "places",
    name: "places: a lease never expires",
    edits: [
      {
        file: "src/scheduling/place-queue/place-dispatcher.ts",
        from: "if (nowMs >= lease.endsAtMs) this.#endLease",
        to: "if (nowMs >= lease.endsAtMs * 1e6) this.#endLease",
      },
    ],
    script: DISPATCHER_TEST,
    args: [],
  },
  {
    guarantee: "places",
    name: "places: leases of a lost gateway are not revoked",
    edits: [
      {
        file: "src/gateway/places/place-host.ts",
        from: "group.dispatcher.dropHolder(instance);",
        to: "",
      },
    ],
    script: CLUSTER_TEST,
    args: [],
  },
  {
    guarantee: "places",
    name: "places: a new dispatcher ignores places that are already in use",
    edits: [
      {
        file: "src/scheduling/place-queue/place-dispatcher.ts",
        from: "> this.#maxReportAgeMs) this.#capacityTracker.recordInitialLoads(nowMs);",
        to: "> 1e9) this.#capacityTracker.recordInitialLoads(nowMs);",
      },
    ],
    script: DISPATCHER_TEST,
    args: [],
  },
  {
    guarantee: "fair share",
    name: "places: calls are served in arrival order across tenants",
    edits: [
      {
        file: "src/scheduling/place-queue/tenant-shares.ts",
        from: "const share = this.#shares.get(tenant) ?? this.#addTenant(tenant);",
        to: "const share = this.#shares.get(undefined) ?? this.#addTenant(undefined && tenant);",
      },
    ],
    script: LOAD_TEST,
    args: [],
  },
  {
    guarantee: "fair share",
    name: "places: the rank of a waiting call never rises",
    edits: [
      {
        file: "src/scheduling/place-queue/aged-rank.ts",
        from: "const AGING_STEP_MS = 50;",
        to: "const AGING_STEP_MS = 50_000;",
      },
    ],
    script: DISPATCHER_TEST,
    args: [],
  },
  {
    guarantee: "early refusal",
    name: "places: no call is refused because of its predicted wait",
    edits: [
      {
        file: "src/scheduling/place-queue/place-dispatcher.ts",
        from: "return timeToFreeMs(Math.max(0, ahead + 1 - capacity.free), capacity);",
        to: "return 0 * ahead + timeToFreeMs(0, capacity);",
      },
    ],
    script: LOAD_TEST,
    args: [],
  },
  {
    guarantee: "dispatcher failure",
    name: "places: a call waits for a dispatcher without a timeout",
    edits: [
      {
        file: "src/gateway/places/place-client.ts",
        from: "if (nowMs < request.overdueAtMs || request.isOver) continue;",
        to: "if (nowMs < request.overdueAtMs * 1e6) continue;",
      },
    ],
    script: CLUSTER_TEST,
    args: [],
  },
];
