import { Command, Option } from "clipanion";
import { requestError } from "../../errors/tulipwheel-error.ts";
import { EXIT_CODES } from "../exit-codes.ts";
import { formatTable } from "../format-table.ts";
import { buildTimeline } from "../logs/build-timeline.ts";
import { readLogs } from "../logs/read-logs.ts";
import { TulipwheelCommand } from "../tulipwheel-command.ts";

/** `tulipwheel explain ID --logs FILE` */
export class ExplainLogsCommand extends TulipwheelCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    category: "Programs",
    description: "Shows the timeline of a request or a program from collected gateway logs",
    examples: [
      [
        "A request, from the logs of all machines",
        "tulipwheel explain 4e95dfc65adce2e3 --logs a.log --logs b.log",
      ],
    ],
  });
  subject = Option.String({ name: "REQUEST_OR_PROGRAM" });
  logs = Option.Array("--logs", {
    required: true,
    description: "A file of JSON lines; may be given more than once",
  });

  protected override async run(): Promise<number> {
    const timeline = buildTimeline(await readLogs(this.logs), this.subject);
    if (timeline.length === 0)
      throw requestError(
        "not-found",
        `No line of these logs contains ${this.subject}. Collect the logs of all gateways.`,
      );
    const startMs = timeline[0]?.time ?? 0;
    const rows = timeline.map(({ time, node, text }) => [
      `${((time - startMs) / 1_000).toFixed(3)} s`,
      node,
      text,
    ]);
    this.print(timeline, formatTable(["time", "machine", "what"], rows));
    return EXIT_CODES.done;
  }
}
