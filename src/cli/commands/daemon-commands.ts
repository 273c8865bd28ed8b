import { Command, Option } from "clipanion";
import { startNode } from "../../node/start-node.ts";
import { loadSettings, parseOverride } from "../../settings/load-settings.ts";
import { nodeSettingsSchema } from "../../settings/node-settings.ts";
import { sidecarSettingsSchema } from "../../settings/sidecar-settings.ts";
import { startSidecar } from "../../sidecar/start-sidecar.ts";
import { TulipwheelCommand } from "../tulipwheel-command.ts";

/** Options that both daemons have. */
abstract class DaemonCommand extends TulipwheelCommand {
  settings = Option.String("--settings", { description: "Settings file (YAML)" });
  set = Option.Array("--set", [], { description: "Overrides one setting: a.b.c=value" });

  /** Prints where the daemon is reached, for those who start it, and waits for a signal to stop. */
  protected async serve(
    addresses: object,
    drain: () => Promise<void>,
    drained: Promise<void>,
  ): Promise<number> {
    this.context.stdout.write(`${JSON.stringify(addresses)}\n`);
    const signalled = new Promise<void>((resolve) => {
      process.once("SIGTERM", () => resolve());
      process.once("SIGINT", () => resolve());
    });
    await Promise.race([signalled, drained]);
    await drain();
    return 0;
  }
}

/** `tulipwheel node` */
export class NodeCommand extends DaemonCommand {
  static override paths = [["node"]];
  static override usage = Command.Usage({
    category: "Daemons",
    description: "Runs a node",
    details:
      "Leads or follows program shards and is home of runners. SIGTERM is a planned stop: work is handed over.",
    examples: [["From a settings file", "tulipwheel node --settings node-a.yaml"]],
  });

  protected override async run(): Promise<number> {
    const settings = await loadSettings(this.settings, this.set.map(parseOverride), nodeSettingsSchema);
    const node = await startNode(settings);
    const requested = new Promise<void>((resolve) => {
      node.daemon.onDrainRequested = resolve;
    });
    const { address, metricsAddress: metrics } = node;
    return this.serve({ address, metrics }, () => node.drain(), requested);
  }
}

/** `tulipwheel sidecar` */
export class SidecarCommand extends DaemonCommand {
  static override paths = [["sidecar"]];
  static override usage = Command.Usage({
    category: "Daemons",
    description: "Runs a sidecar, the local process beside a caller",
    details:
      "Serves the HTTP interface for callers. SIGTERM is a planned stop: requests in progress end first.",
    examples: [["From a settings file", "tulipwheel sidecar --settings sidecar.yaml"]],
  });

  protected override async run(): Promise<number> {
    const settings = await loadSettings(this.settings, this.set.map(parseOverride), sidecarSettingsSchema);
    const sidecar = await startSidecar(settings);
    return this.serve({ address: sidecar.address }, () => sidecar.drain(), new Promise(() => undefined));
  }
}
