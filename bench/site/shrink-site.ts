/**
 * A smaller copy of a site file of the users' bench: machines, runners, traffic, clients and the store's rates divided
 * by a factor; faults, days and seeds stay. The file is changed line by line, in the layout that the users' files have.
 */

/** Days in small that the users' bench brings along; they have machines of their own. */
const SMALL_DAY = /^small = /;
const MACHINE = /^ {2}\{ class = "\w+", cpu_share/;
const SERVICE = /^ {2}\{ name = .*servers = \[/;
const TRAFFIC = /^ {2}\{ zone = .*per_s = /;
const STORE_RATE = /^(writes_per_s|reads_per_s) = /;
/** Digits of a rate of requests. */
const RATE_DIGITS = 3;

/** See the module's comment. @param factor how many times smaller the copy is, 1 or more */
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

/** Divides counts, and leaves one of each. */
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
