import { Command, Option } from "clipanion";
import { startNode } from "../../node/start-node.ts";
import { loadSettings, parseOverride } from "../../settings/load-settings.ts";
import { nodeSettingsSchema } from "../../settings/node-settings.ts";
import { TulipwheelCommand } from "../tulipwheel-command.ts";

/** `tulipwheel node` */
export class NodeCommand extends TulipwheelCommand {
  static override paths = [["node"]];
  static override usage = Command.Usage({
    category: "Daemons",
    description: "Runs a node",
    details: `
      Takes callers' requests, leads or follows program shards and is home of runners. Prints its addresses as JSON.
      SIGTERM is a planned stop: callers' requests end first, then work is handed over.
    `,
    examples: [["From a settings file", "tulipwheel node --settings node-a.yaml"]],
  });
  settings = Option.String("--settings", { description: "Settings file (YAML)" });
  set = Option.Array("--set", [], { description: "Overrides one setting: a.b.c=value" });

  protected override async run(): Promise<number> {
    const settings = await loadSettings(this.settings, this.set.map(parseOverride), nodeSettingsSchema);
    const node = await startNode(settings);
    const { address, callersAddress: callers, metricsAddress: metrics } = node;
    this.context.stdout.write(`${JSON.stringify({ address, callers, metrics })}\n`);
    await new Promise<void>((resolve) => {
      node.daemon.onDrainRequested = resolve;
      process.once("SIGTERM", () => resolve());
      process.once("SIGINT", () => resolve());
    });
    await node.drain();
    return 0;
  }
}
