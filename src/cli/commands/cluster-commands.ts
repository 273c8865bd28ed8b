import { Command, Option } from "clipanion";
import { configurationError, problemOfError, requestError } from "../../errors/tulipwheel-error.ts";
import type { ClusterView, ShardView } from "../../messages/rpc-messages.ts";
import { systemRandom } from "../../runtime/system-random.ts";
import { LOG_LEVELS } from "../../settings/common-schemas.ts";
import { runnerKey } from "../../settings/templates/template-schema.ts";
import { EXIT_CODES } from "../exit-codes.ts";
import { formatTable } from "../format-table.ts";
import type { OperatorClient } from "../operator-client.ts";
import { OperatorCommand } from "../operator-command.ts";
import { waitUntilInForce } from "../wait-until-in-force.ts";

const CATEGORY = "Cluster";
const CHANGE_TOKEN_LENGTH = 16;

/** `tulipwheel status` */
export class StatusCommand extends OperatorCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Shows nodes, shards and runners",
  });

  protected override async operate(client: OperatorClient): Promise<number> {
    const cluster = await client.cluster();
    const views = await Promise.all(
      cluster.nodes.map((node) => client.ask("readCluster", {}, node.address).catch(() => undefined)),
    );
    const ledShards = views.flatMap((view) => view?.shards.filter((shard) => shard.role === "leader") ?? []);
    const rows = cluster.nodes.map(({ instance, address, zone, leaving }, index) => [
      instance,
      address,
      zone,
      nodeState(leaving, views[index]),
      String(views[index]?.configurationVersion ?? "-"),
      String(ledShards.filter((shard) => shard.leader === instance).length),
    ]);
    const text = [
      formatTable(["NODE", "ADDRESS", "ZONE", "STATE", "CONFIGURATION", "SHARDS LED"], rows),
      `\n${ledShards.length} of ${cluster.shardCount} shards have a leader; ${programCount(ledShards)} programs.`,
      `${cluster.runners.filter((runner) => runner.home).length} of ${cluster.runners.length} runners have a home.`,
    ];
    this.print({ ...cluster, shards: ledShards }, text.join("\n"));
    return ledShards.length === cluster.shardCount ? EXIT_CODES.done : EXIT_CODES.unavailable;
  }
}

/** `tulipwheel node drain` */
export class NodeDrainCommand extends OperatorCommand {
  static override paths = [["node", "drain"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Has the node given by --node hand its work over and leave",
  });

  protected override async operate(client: OperatorClient): Promise<number> {
    await client.ask("drainNode", { reason: "operator" });
    this.print({ draining: true }, "The node is handing its work over and will leave.");
    return EXIT_CODES.done;
  }
}

/** `tulipwheel shard recover` */
export class ShardRecoverCommand extends OperatorCommand {
  static override paths = [["shard", "recover"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Recovers shards from the object store after all their replicas were lost",
    details: `
      What was committed after the last write to the object store is lost. Refused while a replica answers. Make sure
      that the replicas are gone and not only unreachable: with two copies of a shard, the histories of its programs
      would diverge.
    `,
  });
  shards = Option.Rest({ name: "SHARD" });
  all = Option.Boolean("--all", false, {
    description: "Tries every shard and skips those with a replica that answers",
  });

  protected override async operate(client: OperatorClient): Promise<number> {
    const { shardCount } = await client.cluster();
    const shards = this.all
      ? Array.from({ length: shardCount }, (_, shard) => shard)
      : this.shards.map(Number);
    const recovered: { shard: number; generation: number; programs: number; lastIndex: number }[] = [];
    for (const shard of shards) {
      try {
        recovered.push({ shard, ...(await client.ask("recoverShard", { shard })) });
      } catch (error) {
        if (!this.all || problemOfError(error).kind !== "shard-alive") throw error;
      }
    }
    const rows = recovered.map((result) =>
      [result.shard, result.generation, result.programs, result.lastIndex].map(String),
    );
    this.print(recovered, formatTable(["SHARD", "GENERATION", "PROGRAMS", "LAST INDEX"], rows));
    return EXIT_CODES.done;
  }
}

/** `tulipwheel runner list` */
export class RunnerListCommand extends OperatorCommand {
  static override paths = [["runner", "list"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Lists the runners and their homes",
  });

  protected override async operate(client: OperatorClient): Promise<number> {
    const { runners } = await client.cluster();
    const rows = runners.map(({ runner, pool, zone, home, leaving, slots, expectedWaitMs }) => [
      runner,
      pool,
      zone,
      home ?? "-",
      leaving ? "leaving" : "live",
      String(slots),
      String(expectedWaitMs),
    ]);
    this.print(runners, formatTable(["RUNNER", "POOL", "ZONE", "HOME", "STATE", "SLOTS", "WAIT MS"], rows));
    return EXIT_CODES.done;
  }
}

/** `tulipwheel runner drain` */
export class RunnerDrainCommand extends OperatorCommand {
  static override paths = [["runner", "drain"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Gives a runner no more work, or work again with --undo",
  });
  runner = Option.String({ name: "RUNNER" });
  undo = Option.Boolean("--undo", false, { description: "Gives it work again" });

  protected override async operate(client: OperatorClient): Promise<number> {
    const { runners } = await client.cluster();
    if (!runners.some(({ runner }) => runner === this.runner)) {
      throw requestError("not-found", `There is no runner ${this.runner}.`);
    }
    const key = runnerKey(this.runner);
    const { entries } = await client.ask("readConfiguration", { prefix: key });
    const { version } = await client.ask("applyConfiguration", {
      change: systemRandom().token(CHANGE_TOKEN_LENGTH),
      key,
      content: `kind: runner\nname: ${this.runner}\ndraining: ${!this.undo}\n`,
      baseVersion: entries.filter((entry) => entry.key === key).at(-1)?.version ?? 0,
    });
    const waitedMs = await waitUntilInForce(client, version);
    const state = this.undo ? "takes work again" : "takes no more work";
    this.print({ version, waitedMs }, `${this.runner} ${state}, on every node after ${waitedMs} ms.`);
    return EXIT_CODES.done;
  }
}

/** `tulipwheel log-level` */
export class LogLevelCommand extends OperatorCommand {
  static override paths = [["log-level"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Changes a node's log level while it runs",
  });
  level = Option.String({ name: "LEVEL" });

  protected override async operate(client: OperatorClient): Promise<number> {
    if (!(LOG_LEVELS as readonly string[]).includes(this.level)) {
      throw configurationError("invalid-settings", `${this.level} is none of ${LOG_LEVELS.join(", ")}.`);
    }
    await client.ask("setLogLevel", { level: this.level });
    this.print({ level: this.level }, `The node now logs at ${this.level}.`);
    return EXIT_CODES.done;
  }
}

function nodeState(leaving: boolean, view: ClusterView | undefined): string {
  if (!view) return "silent";
  return leaving ? "leaving" : "live";
}

function programCount(ledShards: readonly ShardView[]): number {
  return ledShards.reduce((sum, shard) => sum + shard.programs, 0);
}
