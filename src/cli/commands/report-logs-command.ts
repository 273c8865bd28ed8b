import { writeFile } from "node:fs/promises";
import { Command, Option } from "clipanion";
import { requestError } from "../../errors/tulipwheel-error.ts";
import { EXIT_CODES } from "../exit-codes.ts";
import { formatTable } from "../format-table.ts";
import { readLogs } from "../logs/read-logs.ts";
import {
  type IntervalSummary,
  type Percentiles,
  type StateChangeCount,
  summarizeLogs,
} from "../logs/summarize-logs.ts";
import { summarySvg } from "../logs/summary-svg.ts";
import { TulipwheelCommand } from "../tulipwheel-command.ts";

const MS_PER_S = 1_000;
const HEADER = [
  "FROM S",
  "ANSWERED",
  "REFUSED",
  "FAILED",
  "TURNS MS",
  "OWNER MS",
  "FIRST BYTE MS",
  "OTHERS MS",
  "REPEATED",
  "RUNNERS",
  "BUSIEST",
];

/** `tulipwheel report --logs FILE` */
export class ReportLogsCommand extends TulipwheelCommand {
  static override paths = [["report"]];
  static override usage = Command.Usage({
    category: "Programs",
    description: "Summarizes collected gateway logs by time: outcomes of calls and latency of turns",
    details: `
      Times are the median and the 90th percentile. OWNER is the time until the owner of the program has responded,
      FIRST BYTE the time from then to the first byte. BUSIEST is the number of tries sent to the busiest runner, as a
      multiple of the mean.
    `,
    examples: [["With a plot", "tulipwheel report --logs a.log --logs b.log --svg day.svg"]],
  });
  logs = Option.Array("--logs", {
    required: true,
    description: "A file of JSON lines; may be given more than once",
  });
  interval = Option.String("--interval", "2", { description: "Length of an interval, s" });
  svg = Option.String("--svg", { description: "Draws the summary into this file" });

  protected override async run(): Promise<number> {
    const intervalMs = Number(this.interval) * MS_PER_S;
    if (!(intervalMs > 0)) {
      throw requestError(
        "invalid-request",
        `--interval ${this.interval} is not a number of seconds above 0.`,
      );
    }
    const summary = summarizeLogs(await readLogs(this.logs), intervalMs);
    if (summary.intervals.length === 0) {
      throw requestError(
        "not-found",
        "These logs contain no line about a call. Collect the logs of all gateways.",
      );
    }
    if (this.svg !== undefined) await writeFile(this.svg, summarySvg(summary));
    const table = formatTable(HEADER, summary.intervals.map(rowOf));
    this.print(summary, `${table}\n\n${summary.beliefs.map(stateChangeText).join("\n")}`);
    return EXIT_CODES.done;
  }
}

function rowOf(interval: IntervalSummary): string[] {
  const { startMs, answered, refused, failed, turns, admissions, firstBytes, others } = interval;
  const counts = [startMs / MS_PER_S, answered, refused, failed].map(String);
  const times = [turns, admissions, firstBytes, others].map(percentilesText);
  return [
    ...counts,
    ...times,
    String(interval.repeated),
    String(interval.runners),
    interval.busiest.toFixed(1),
  ];
}

function percentilesText(percentiles: Percentiles | undefined): string {
  return percentiles ? `${Math.round(percentiles.medianMs)} / ${Math.round(percentiles.p90Ms)}` : "-";
}

function stateChangeText({ startMs, belief, count }: StateChangeCount): string {
  return `${(startMs / MS_PER_S).toFixed(0)} s: ${belief}${count > 1 ? ` (${count} times)` : ""}`;
}
