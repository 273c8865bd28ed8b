/**
 * Runs one stand-in as a separate process: prints its address as JSON and serves until the process is terminated.
 *
 *     node --import tsx standins/main.ts table --listen 127.0.0.1:0
 *     node --import tsx standins/main.ts engine --listen 127.0.0.1:0 --options '{"name":"runner-1","models":["agent-llm"]}'
 */
import { Cli, Command, Option } from "clipanion";
import { loadTextHash } from "../src/runtime/text-hash.ts";
import type { EngineModelOptions } from "./engine/engine-model.ts";
import { EngineStandin } from "./http/engine-standin.ts";
import {
  machineListStandin,
  objectStandin,
  serviceStandin,
  tableStandin,
  weightStandin,
} from "./http/platform-standins.ts";

const NEVER_RESOLVES = new Promise<number>(() => undefined);

abstract class StandinCommand extends Command {
  listen = Option.String("--listen", "127.0.0.1:0", { description: "IP:port; port 0 selects a free port" });
  options = Option.String("--options", "{}", { description: "Options as JSON" });

  protected abstract start(options: unknown): Promise<string>;

  override async execute(): Promise<number> {
    const address = await this.start(JSON.parse(this.options));
    this.context.stdout.write(`${JSON.stringify({ address })}\n`);
    return NEVER_RESOLVES;
  }
}

class TableCommand extends StandinCommand {
  static override paths = [["table"]];
  protected override start = () => tableStandin().listen(this.listen);
}

class ObjectsCommand extends StandinCommand {
  static override paths = [["objects"]];
  protected override start = () => objectStandin().listen(this.listen);
}

class MachineListCommand extends StandinCommand {
  static override paths = [["machine-list"]];
  protected override start = (options: unknown) =>
    machineListStandin(options as object).standin.listen(this.listen);
}

class ServiceCommand extends StandinCommand {
  static override paths = [["service"]];
  protected override start = () => serviceStandin().listen(this.listen);
}

class WeightsCommand extends StandinCommand {
  static override paths = [["weights"]];
  protected override start = () => weightStandin([]).listen(this.listen);
}

class EngineCommand extends StandinCommand {
  static override paths = [["engine"]];
  protected override start = async (options: unknown) =>
    new EngineStandin(options as EngineModelOptions, await loadTextHash()).listen(this.listen);
}

const commands = [
  TableCommand,
  ObjectsCommand,
  MachineListCommand,
  ServiceCommand,
  WeightsCommand,
  EngineCommand,
];
process.exitCode = await Cli.from(commands).run(process.argv.slice(2));
