/** Runs gateways of the bundle in this process, sends them some requests, and stores the code that V8 compiled. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { SETTINGS_VARIABLE } from "../../platform/settings-variable.ts";
import { BundleScript } from "../../src/launcher/bundle-script.ts";
import { freeAddress } from "./free-address.ts";
import { WarmUpBackEnds } from "./warm-up-back-ends.ts";
import { sendWarmUpRequests } from "./warm-up-requests.ts";

/** Number of gateways in the cluster; above `MAX_DIRECT_PEERS` they communicate through relays. */
const GATEWAYS = 5;
const MAX_DIRECT_PEERS = 2;

/** Returns whether all requests were served; if not, no code is stored. */
async function writeCodeCache(): Promise<boolean> {
  const folder = dirname(process.argv[1] as string);
  const settingsFolder = mkdtempSync(join(tmpdir(), "tulipwheel-build-"));
  const script = new BundleScript(folder);
  const backEnds = await WarmUpBackEnds.start();
  const callers: string[] = [];
  const seeds: string[] = [];
  for (let index = 0; index < GATEWAYS; index += 1) {
    const name = `warm-up-${index}`;
    const addresses = await Promise.all([freeAddress(), freeAddress(), freeAddress(), freeAddress()]);
    const [caller, readiness, directory, peers] = addresses;
    callers.push(caller);
    seeds.push(peers);
    const file = join(settingsFolder, `${name}.yaml`);
    const settings = {
      name,
      region: "region",
      zone: `zone-${index % 2}`,
      listen: { callers: caller, readiness, directory, peers },
      seeds,
      store: backEnds.storeAddress,
      partitions: 4,
      membership: { directMost: MAX_DIRECT_PEERS },
    };
    writeFileSync(file, JSON.stringify(settings));
    process.env[SETTINGS_VARIABLE] = file;
    script.run();
  }
  const isServed = await sendWarmUpRequests(callers);
  rmSync(settingsFolder, { recursive: true, force: true });
  if (isServed) writeFileSync(BundleScript.cachePath(folder), script.compiledCode());
  return isServed;
}

void writeCodeCache().then((served) => process.exit(served ? 0 : 1));
