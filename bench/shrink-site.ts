/**
 * `npm run --silent shrink-site -- SITE.toml FACTOR > small.toml`: writes a smaller copy of a site of the users' bench,
 * for trials that run in a minute. Put the site's wire.json beside it. Results of copies are trials, never scores.
 */
import { readFileSync } from "node:fs";
import { shrinkSite } from "./site/shrink-site.ts";

const INVALID_INPUT = 2;

const [path, by] = process.argv.slice(2);
const factor = Number(by);
if (path === undefined || !(factor >= 1)) {
  process.stderr.write("usage: shrink-site SITE.toml FACTOR, the factor a number of 1 or more\n");
  process.exit(INVALID_INPUT);
}
process.stdout.write(shrinkSite(readFileSync(path, "utf8"), factor));
