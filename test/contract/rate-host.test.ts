/** What a gateway that has taken tenants over admits, by what it knows of the owner before. */
import { beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import type { GatewayContext } from "../../src/gateway/gateway-context.ts";
import type {
  AdmitRequestsRequest,
  AdmitRequestsResponse,
  GatewayRpcSchema,
} from "../../src/gateway/gateway-messages.ts";
import type { MemberDirectory } from "../../src/gateway/members/member-directory.ts";
import type { PartitionHost, PartitionOwnership } from "../../src/gateway/partitions/partition-host.ts";
import { RateHost } from "../../src/gateway/rates/rate-host.ts";
import type { RpcEndpoint } from "../../src/runtime/rpc.ts";
import type { TenantName } from "../../src/scheduling/ids/tenant-name.ts";
import { gatewayContext } from "./support/gateway-parts.ts";

const LIMIT = { perSecond: 20, burst: 20 };
const TAKEN_OVER_MS = 10_000;

let nowMs: number;
let endedByMs: number | undefined;
let ownership: PartitionOwnership;
let admit: (wanted: number) => Promise<AdmitRequestsResponse>;

async function startHost(): Promise<void> {
  const given = await gatewayContext("gateway", "127.0.0.1:1");
  const clock = Object.assign(Object.create(given.clock), { monotonicMs: () => nowMs });
  const context: GatewayContext = { ...given, clock };
  const members = { endedByMs: () => endedByMs, reachedShare: 1 } as unknown as MemberDirectory;
  const partitions = { ownership: () => ownership } as unknown as PartitionHost;
  let handler: ((request: AdmitRequestsRequest) => Promise<AdmitRequestsResponse>) | undefined;
  const rpc = {
    handle: (_: string, handle: typeof handler) => {
      handler = handle;
    },
  } as unknown as RpcEndpoint<GatewayRpcSchema>;
  new RateHost(context, members, partitions, rpc);
  admit = (wanted) => {
    const request = { partition: 1, tenant: "tenant" as TenantName, wanted, limit: LIMIT, limitVersion: 1 };
    return handler?.(request) as Promise<AdmitRequestsResponse>;
  };
}

/** Asks every 100 ms, as a tenant does that sends more than its limit; returns what was admitted. */
async function admittedUntil(untilMs: number): Promise<number> {
  let admitted = 0;
  for (; nowMs < untilMs; nowMs += 100) admitted += (await admit(10)).granted;
  return admitted;
}

describe("a gateway that has taken tenants over", () => {
  beforeEach(async () => {
    nowMs = TAKEN_OVER_MS;
    endedByMs = undefined;
    const rates = undefined;
    ownership = {
      epoch: 7,
      isReleased: false,
      rates,
      unreleasedOwner: "other#1",
      takenOverAtMs: nowMs,
    };
    await startHost();
  });

  it("admits nothing as long as the owner before may still do so", async () => {
    expect(await admittedUntil(TAKEN_OVER_MS + 2_000)).toEqual(0);
    expect(await admittedUntil(TAKEN_OVER_MS + 3_000)).toEqual(18);
  });

  it("goes on at once when it hears that the machine of the owner before runs another process", async () => {
    expect(await admittedUntil(TAKEN_OVER_MS + 200)).toEqual(0);
    endedByMs = TAKEN_OVER_MS + 50;
    expect(await admittedUntil(TAKEN_OVER_MS + 1_300)).toEqual(23);
  });

  it("counts from when the owner before had ended, where it knows that from the start", async () => {
    endedByMs = TAKEN_OVER_MS - 500;
    expect(await admittedUntil(TAKEN_OVER_MS + 100)).toEqual(10);
  });

  it("doubts itself after it stood still, whatever it knows of the owner before", async () => {
    expect(await admittedUntil(TAKEN_OVER_MS + 200)).toEqual(0);
    nowMs += 1_500;
    endedByMs = TAKEN_OVER_MS;
    expect(await admittedUntil(TAKEN_OVER_MS + 3_700)).toEqual(0);
    expect(await admittedUntil(TAKEN_OVER_MS + 4_300)).toEqual(10);
  });
});
