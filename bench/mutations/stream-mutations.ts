/** Mutations of how a stream is kept at the software version that began it. */
import type { Mutation } from "./mutation.ts";

const CALLS = "src/gateway/calls";
const ORIGINS = "src/gateway/streams/stream-origins.ts";
const VERSIONS = "src/scheduling/stream-versions";
const SIMULATED = "test/simulation/stream-origins.test.ts";
const PROCESSES = "test/process/stream-versions.test.ts";

export const STREAM_MUTATIONS: readonly Mutation[] = [
  {
    guarantee: "streams",
    name: "stream: a stream that has begun goes on at any version",
    edits: [
      {
        file: `${CALLS}/routed-call.ts`,
        from: "runner.version === requiredVersion && versions.isSure(runner)",
        to: "versions.isSure(runner)",
      },
    ],
    script: PROCESSES,
    args: [],
  },
  {
    guarantee: "streams",
    name: "stream: its version is forgotten within one answer",
    edits: [
      {
        file: `${CALLS}/streamed-call.ts`,
        from: "return this.#version;",
        to: "return this.#resumed?.version;",
      },
    ],
    script: PROCESSES,
    args: [],
  },
  {
    guarantee: "streams",
    name: "stream: an unknown version is taken for that of any runner",
    edits: [
      {
        file: ORIGINS,
        from: "return version === undefined\n",
        to: 'return version === ("v0" as SoftwareVersion)\n',
      },
      {
        file: ORIGINS,
        from: ': { type: "version", version };\n  }\n\n  /** The version of a history',
        to: ': { type: "version", version: version as SoftwareVersion };\n  }\n\n  /** The version of a history',
      },
    ],
    script: SIMULATED,
    args: [],
  },
  {
    guarantee: "streams",
    name: "stream: the list is trusted without asking the store",
    edits: [
      {
        file: "src/gateway/runners/runner-watch.ts",
        from: "this.versions.confirmList = () => this.#follower.confirm();",
        to: "this.versions.confirmList = () => Promise.resolve(true);",
      },
    ],
    script: SIMULATED,
    args: [],
  },
  {
    guarantee: "streams",
    name: "stream: a version that has just gone counts as never there",
    edits: [
      {
        file: `${VERSIONS}/version-history.ts`,
        from: "nowMs - spanMs - MAX_AGE_IN_GAPS * this.#maxGapMs",
        to: "nowMs - this.#maxGapMs",
      },
    ],
    script: "test/contract/stream-versions.test.ts",
    args: [],
  },
  {
    guarantee: "streams",
    name: "stream: a gap in the list is passed over",
    edits: [
      {
        file: `${VERSIONS}/version-history.ts`,
        from: "if (readAtMs - this.#readAtMs > this.#maxGapMs) this.#followedSinceMs = readAtMs;",
        to: "this.#followedSinceMs = Math.min(this.#followedSinceMs, readAtMs);",
      },
    ],
    script: "test/contract/stream-versions.test.ts",
    args: [],
  },
  {
    guarantee: "streams",
    name: "stream: nobody else is told where it began",
    edits: [
      {
        file: ORIGINS,
        from: 'this.#parts.transport.send(address, { type: "streamsBegun", streams: begun });',
        to: "void address;",
      },
    ],
    script: "bench/simulate-gateways.ts",
    args: ["--streams", "--faults", "kill-half"],
  },
  {
    guarantee: "streams",
    name: "stream: others are told some time after its first event",
    edits: [{ file: ORIGINS, from: "if (this.#mustTell(origin)) this.#tell(", to: "if (false) this.#tell(" }],
    script: SIMULATED,
    args: [],
  },
  {
    guarantee: "streams",
    name: "stream: those under way are not told of when another version comes",
    edits: [
      {
        file: ORIGINS,
        from: "if (pending.length > 0) this.#tell(pending);",
        to: "if (pending.length < 0) this.#tell(pending);",
      },
    ],
    script: SIMULATED,
    args: [],
  },
  {
    guarantee: "streams",
    name: "stream: only those who remember it are asked, and not what others have read",
    edits: [
      {
        file: ORIGINS,
        from: '(answer?.type === "absent" ? [answer.onlyVersion] : [])',
        to: '(answer?.type === "absent" ? [undefined] : [])',
      },
    ],
    script: SIMULATED,
    args: [],
  },
  {
    guarantee: "streams",
    name: "stream: its runner started again with another version, and that is passed over",
    edits: [
      {
        file: "src/gateway/runners/runner-versions.ts",
        from: "return listed !== undefined && listed.version !== version;",
        to: "return listed === undefined && version === undefined;",
      },
    ],
    script: SIMULATED,
    args: [],
  },
  {
    guarantee: "streams",
    name: "stream: a runner that ended a connection is sure at once",
    edits: [
      {
        file: `${VERSIONS}/restart-doubts.ts`,
        from: "writtenAfterMs > endedAtMs",
        to: "writtenAfterMs > 0",
      },
    ],
    script: "test/contract/stream-versions.test.ts",
    args: [],
  },
  {
    guarantee: "streams",
    name: "stream: two streams of one key count as one",
    edits: [
      {
        file: `${VERSIONS}/origin-table.ts`,
        from: "known.isAmbiguous || !isSameVersion(known.origin, origin)",
        to: "known.isAmbiguous && !isSameVersion(known.origin, origin)",
      },
    ],
    script: "test/contract/stream-versions.test.ts",
    args: [],
  },
  {
    guarantee: "streams",
    name: "stream: an entry that changes its version is the same start",
    edits: [
      {
        file: "src/scheduling/runner-balancing/start-order.ts",
        from: 'entry.version === known.version ? "same" : "later"',
        to: '"same"',
      },
    ],
    script: "test/contract/runner-watch.test.ts",
    args: [],
  },
];
