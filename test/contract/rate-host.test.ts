/** Tests what a gateway admits after it has taken over a partition, depending on what it knows of the previous owner. */
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
const TAKEN_OVER_AT_MS = 10_000;

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

/** Asks every 100 ms, like a tenant that exceeds its limit; returns the number of requests that were admitted. */
async function admittedUntil(untilMs: number): Promise<number> {
  let admitted = 0;
  for (; nowMs < untilMs; nowMs += 100) admitted += (await admit(10)).granted;
  return admitted;
}

describe("a gateway that has taken over a partition of tenants", () => {
  beforeEach(async () => {
    nowMs = TAKEN_OVER_AT_MS;
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

  it("admits nothing as long as the previous owner may still admit requests", async () => {
    expect(await admittedUntil(TAKEN_OVER_AT_MS + 2_000)).toEqual(0);
    expect(await admittedUntil(TAKEN_OVER_AT_MS + 3_000)).toEqual(18);
  });

  it("admits requests as soon as it learns that the previous owner's machine runs another process", async () => {
    expect(await admittedUntil(TAKEN_OVER_AT_MS + 200)).toEqual(0);
    endedByMs = TAKEN_OVER_AT_MS + 50;
    expect(await admittedUntil(TAKEN_OVER_AT_MS + 1_300)).toEqual(23);
  });

  it("fills the buckets from the end of the previous owner, if it knows that from the start", async () => {
    endedByMs = TAKEN_OVER_AT_MS - 500;
    expect(await admittedUntil(TAKEN_OVER_AT_MS + 100)).toEqual(10);
  });

  it("admits nothing for a while after its own standstill, whatever it knows of the previous owner", async () => {
    expect(await admittedUntil(TAKEN_OVER_AT_MS + 200)).toEqual(0);
    nowMs += 1_500;
    endedByMs = TAKEN_OVER_AT_MS;
    expect(await admittedUntil(TAKEN_OVER_AT_MS + 3_700)).toEqual(0);
    expect(await admittedUntil(TAKEN_OVER_AT_MS + 4_300)).toEqual(10);
  });
});
