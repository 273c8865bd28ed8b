/**
 * Makes a smaller copy of a site file of the users' bench: divides machines, runners, traffic, clients and the store's
 * rates by a factor, and keeps faults, days and seeds. Edits line by line and relies on the layout of users' files.
 */

/** Small variants of days in the users' bench; they define machines of their own. */
const SMALL_DAY = /^small = /;
const MACHINE = /^ {2}\{ class = "\w+", cpu_share/;
const SERVICE = /^ {2}\{ name = .*servers = \[/;
const TRAFFIC = /^ {2}\{ zone = .*per_s = /;
const STORE_RATE = /^(writes_per_s|reads_per_s) = /;
/** Significant digits of a request rate. */
const RATE_DIGITS = 3;

/** Returns a smaller copy of a site file. @param factor how many times smaller the copy is, 1 or more */
export function shrinkSite(site: string, factor: number): string {
  const lines = site.split("\n").filter((line) => !SMALL_DAY.test(line));
  return lines.map((line) => shrinkLine(line, factor)).join("\n");
}

function shrinkLine(line: string, factor: number): string {
  if (MACHINE.test(line)) return divideCounts(line, "count|spare", factor);
  if (SERVICE.test(line))
    return line.replace(/servers = \[[^\]]*\]/, (servers) => divideCounts(servers, "count", factor));
  if (TRAFFIC.test(line)) return divideRate(divideCounts(line, "clients", factor), factor);
  if (STORE_RATE.test(line))
    return line.replace(/= ([\d.]+)/, (_, rate) => `= ${(Number(rate) / factor).toFixed(1)}`);
  return line;
}

/** Divides counts by the factor, to at least 1. */
function divideCounts(line: string, names: string, factor: number): string {
  const counts = new RegExp(`\\b(${names}) = (\\d+)`, "g");
  return line.replace(counts, (_, name, count) => {
    return `${name} = ${Math.max(1, Math.round(Number(count) / factor))}`;
  });
}

function divideRate(line: string, factor: number): string {
  return line.replace(
    /\bper_s = ([\d.]+)/,
    (_, rate) => `per_s = ${(Number(rate) / factor).toPrecision(RATE_DIGITS)}`,
  );
}
