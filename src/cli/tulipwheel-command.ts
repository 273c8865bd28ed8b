import { Command, Option } from "clipanion";
import { problemOfError, TulipwheelError } from "../errors/tulipwheel-error.ts";
import { exitCodeOf } from "./exit-codes.ts";

/**
 * Base class of every command: prints text by default and JSON with `--json`; the exit code depends on the kind of error.
 */
export abstract class TulipwheelCommand extends Command {
  json = Option.Boolean("--json", false, { description: "Prints JSON" });

  /** Executes the command and returns its exit code. */
  protected abstract run(): Promise<number>;

  override async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      this.#printError(error);
      return exitCodeOf(error);
    }
  }

  /** Prints a result, as JSON or as text. */
  protected print(value: unknown, text: string): void {
    this.context.stdout.write(this.json ? `${JSON.stringify(value, null, 2)}\n` : `${text.trimEnd()}\n`);
  }

  #printError(error: unknown): void {
    if (this.json) this.context.stderr.write(`${JSON.stringify(problemOfError(error))}\n`);
    else if (error instanceof TulipwheelError) this.context.stderr.write(`${error.message}\n`);
    else this.context.stderr.write(`${(error as Error).stack ?? String(error)}\n`);
  }
}
