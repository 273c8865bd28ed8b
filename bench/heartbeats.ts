/**
 * `npm run heartbeats -- [--sizes 12,24,48] [--zones 9]`: measures the cost of heartbeats and digests by the number of
 * gateways. All gateways are hollow and run in this process on virtual time; each has one request in flight.
 */
import { parseArgs } from "node:util";
import { loadTextHash } from "../src/runtime/text-hash.ts";
import { FLEET_RUNNERS, MemberFleet } from "./simulation/gateways/member-fleet.ts";

const SETTLE_MS = 8_000;
const MEASUREMENT_MS = 10_000;
const MS_PER_SECOND = 1_000;
const DIRECT_MOST = 24;

const { values } = parseArgs({
  options: { sizes: { type: "string", default: "12,24,48,96,192" }, zones: { type: "string", default: "4" } },
});

const hash = await loadTextHash();
process.stdout.write(
  "gateways  messages/s each  bytes/s received: median  most (a relay)  processor ms/s each\n",
);
for (const size of values.sizes.split(",").map(Number)) {
  const fleet = new MemberFleet(hash, size, DIRECT_MOST, Number(values.zones));
  for (const [index, { balancer, process: member }] of fleet.members.entries())
    balancer.recordStart(FLEET_RUNNERS[index % 2] ?? FLEET_RUNNERS[0], member.monotonicMs(), 10 * SETTLE_MS);
  await fleet.time.runUntil(SETTLE_MS);
  fleet.messages = 0;
  fleet.countsBytes = true;
  const before = process.cpuUsage();
  await fleet.time.runUntil(SETTLE_MS + MEASUREMENT_MS);
  const used = process.cpuUsage(before);
  const seconds = MEASUREMENT_MS / MS_PER_SECOND;
  const bytes = fleet.members.map(({ name }) => (fleet.bytes.get(name) ?? 0) / seconds);
  bytes.sort((left, right) => left - right);
  const columns = [
    String(size).padStart(8),
    (fleet.messages / size / seconds).toFixed(1).padStart(15),
    String(Math.round(bytes[Math.floor(size / 2)] ?? 0)).padStart(25),
    String(Math.round(bytes.at(-1) ?? 0)).padStart(15),
    ((used.user + used.system) / MS_PER_SECOND / size / seconds).toFixed(2).padStart(20),
  ];
  process.stdout.write(`${columns.join(" ")}\n`);
}
