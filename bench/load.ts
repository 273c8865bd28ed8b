/**
 * `npm run load`: measures what a node adds to the bare stand-in engine, in one run on one machine: first-token latency
 * and streamed tokens per second, closed loop. Processes are separate; all traffic is on loopback.
 */
import { Cli, Command, Option } from "clipanion";
import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { fetch } from "undici";
import { SeededRandomSource } from "../src/runtime/random-source.ts";
import { Caller } from "../test/process/support/caller.ts";
import { Cluster, pause } from "../test/process/support/cluster.ts";

const SLOTS = 256;
const TOKENS = 40;
/** Maximum pause between two calls of a caller, in ms; without it all callers synchronize with the engine's steps. */
const MAX_PAUSE_MS = 60;
const MODEL = "agent-llm";
const MICROSECONDS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Results for one level of concurrency. */
interface Sample {
  readonly firstTokenMs: Histogram;
  tokens: number;
  requests: number;
  failures: number;
  elapsedMs: number;
}

/** Requests one streamed answer and returns the time to its first text. */
type Ask = () => Promise<{ firstMs: number; tokens: number }>;

class LoadCommand extends Command {
  static override paths = [Command.Default];
  seconds = Option.String("--seconds", "6", { description: "Length of each measurement" });
  step = Option.String("--step", "10", {
    description: "Duration of an engine step, ms; latency is a multiple of it",
  });
  concurrency = Option.String("--concurrency", "1,32,128", { description: "Numbers of callers" });

  override async execute(): Promise<number> {
    const engine = {
      name: "runner-1",
      models: [MODEL],
      slots: SLOTS,
      stepMs: Number(this.step),
      stepMsPerSequence: 0,
      kvTokens: 5_000_000,
    };
    const cluster = await Cluster.start({ nodes: 3, engines: [engine], shards: 4 });
    try {
      await cluster.runCommand("template", "apply", "examples/magnolia/templates.yaml");
      const { callers: node } = cluster.nodes[0];
      // A separate engine: requests past the scheduler carry fencing tokens that the scheduler's engine must refuse.
      const bare = await cluster.startUnlistedEngine(engine);
      for (const callers of this.concurrency.split(",").map(Number)) {
        await this.#compare(callers, bare.address, node);
      }
      await this.#measureMemory(cluster, node);
    } finally {
      await cluster.stop();
    }
    return 0;
  }

  async #compare(callers: number, engine: string, node: string): Promise<void> {
    const bare = await runLoad(callers, Number(this.seconds), async () => askEngine(engine));
    const through = await runLoad(callers, Number(this.seconds), async () => openProgram(node));
    this.context.stdout.write(
      `${callers} callers\n  bare engine   ${describe(bare)}\n  through a node ${describe(through)}\n`,
    );
    const added = [50, 95, 99].map((percentile) => {
      const difference = valueAt(through, percentile) - valueAt(bare, percentile);
      return `p${percentile} ${difference.toFixed(2)} ms`;
    });
    const ratio = rate(through) / rate(bare);
    this.context.stdout.write(
      `  added to the first token: ${added.join(", ")}; token rate ${(ratio * 100).toFixed(0)}% of bare\n`,
    );
  }

  /** Compares the heap of the nodes before and after opening programs that then stay idle. */
  async #measureMemory(cluster: Cluster, node: string): Promise<void> {
    const programs = 3_000;
    const before = await heapBytes(cluster);
    const caller = new Caller(node);
    for (let batch = 0; batch < programs / 50; batch++) {
      await Promise.all(Array.from({ length: 50 }, () => caller.open("pay-run")));
    }
    const after = await heapBytes(cluster);
    const perReplica = (after - before) / programs / cluster.nodes.length;
    this.context.stdout.write(
      `memory per idle program and replica: ${perReplica.toFixed(0)} B of heap (${programs} programs)\n`,
    );
  }
}

async function runLoad(callers: number, seconds: number, start: () => Promise<Ask>): Promise<Sample> {
  const sample: Sample = {
    firstTokenMs: buildHistogram({ highestTrackableValue: 60_000_000 }),
    tokens: 0,
    requests: 0,
    failures: 0,
    elapsedMs: 0,
  };
  const random = new SeededRandomSource(callers);
  const startMs = performance.now();
  const endMs = startMs + seconds * MS_PER_SECOND;
  const runCaller = async () => {
    let ask = await start();
    for (let turn = 1; performance.now() < endMs; turn++) {
      try {
        const { firstMs, tokens } = await ask();
        sample.firstTokenMs.recordValue(Math.max(1, Math.round(firstMs * MICROSECONDS_PER_MS)));
        sample.tokens += tokens;
        sample.requests += 1;
      } catch {
        sample.failures += 1;
      }
      await pause(random.unit() * MAX_PAUSE_MS);
      if (turn % 20 === 0) ask = await start();
    }
  };
  await Promise.all(Array.from({ length: callers }, runCaller));
  sample.elapsedMs = performance.now() - startMs;
  return sample;
}

let nextRequest = 0;

function askEngine(address: string): Ask {
  return () => {
    nextRequest += 1;
    const body = {
      requestId: `load-${nextRequest}`,
      program: "prog-load",
      model: MODEL,
      messages: [{ role: "user", content: `bare ${nextRequest} #tokens=${TOKENS}` }],
      maxTokens: TOKENS,
      priority: 1,
      fencingToken: 1,
      resumeText: "",
    };
    return stream(`http://${address}/v1/completions`, {}, body, '"type":"chunk"');
  };
}

async function openProgram(address: string): Promise<Ask> {
  const program = await new Caller(address).open("question");
  const headers = { "tulipwheel-program": program, "tulipwheel-tenant": "magnolia" };
  return () => {
    nextRequest += 1;
    const messages = [{ role: "user", content: `through ${nextRequest} #tokens=${TOKENS}` }];
    const body = { model: MODEL, messages, max_tokens: TOKENS, stream: true };
    return stream(`http://${address}/v1/chat/completions`, headers, body, '"content":"');
  };
}

/** Streams an answer and counts its chunks by a marker text that each contains. */
async function stream(url: string, headers: Record<string, string>, body: object, mark: string) {
  const startMs = performance.now();
  const response = await fetch(url, { method: "POST", headers, body: JSON.stringify(body) });
  if (response.status !== 200 || !response.body) throw new Error(`answered ${response.status}`);
  let firstMs = 0;
  let tokens = 0;
  const decoder = new TextDecoder();
  for await (const part of response.body) {
    const text = decoder.decode(part as Uint8Array, { stream: true });
    if (firstMs === 0) firstMs = performance.now() - startMs;
    tokens += text.split(mark).length - 1;
  }
  return { firstMs, tokens };
}

function valueAt(sample: Sample, percentile: number): number {
  return sample.firstTokenMs.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}

function rate(sample: Sample): number {
  return (sample.tokens * MS_PER_SECOND) / sample.elapsedMs;
}

function describe(sample: Sample): string {
  const latency = [50, 95, 99].map(
    (percentile) => `p${percentile} ${valueAt(sample, percentile).toFixed(2)} ms`,
  );
  const requests = (sample.requests * MS_PER_SECOND) / sample.elapsedMs;
  return (
    `first token ${latency.join(", ")}; ${requests.toFixed(0)} requests/s, ${rate(sample).toFixed(0)} tokens/s, ` +
    `${sample.failures} failures`
  );
}

async function heapBytes(cluster: Cluster): Promise<number> {
  let sum = 0;
  for (const node of cluster.nodes) {
    const metrics = await (await fetch(`http://${node.metrics}/metrics`)).text();
    sum += Number(/^nodejs_heap_size_used_bytes (\S+)/m.exec(metrics)?.[1]);
  }
  return sum;
}

process.exitCode = await Cli.from([LoadCommand], { binaryName: "load" }).run(process.argv.slice(2));
process.exit();
