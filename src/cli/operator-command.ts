import { Option } from "clipanion";
import { configurationError } from "../errors/tulipwheel-error.ts";
import { OperatorClient } from "./operator-client.ts";
import { TulipwheelCommand } from "./tulipwheel-command.ts";

/** Base class of commands that connect to a cluster. */
export abstract class OperatorCommand extends TulipwheelCommand {
  node = Option.String("--node", {
    env: "TULIPWHEEL_NODE",
    description: "IP:port of any node; or TULIPWHEEL_NODE",
  });

  /** Executes the command with a connection to the cluster and returns its exit code. */
  protected abstract operate(client: OperatorClient): Promise<number>;

  protected override async run(): Promise<number> {
    if (!this.node) {
      throw configurationError(
        "invalid-settings",
        "No node is named: give --node IP:port or set TULIPWHEEL_NODE.",
      );
    }
    const client = await OperatorClient.connect(this.node);
    try {
      return await this.operate(client);
    } finally {
      await client.close();
    }
  }
}
