/** Starts the gateway's bundle; see bundle-script.ts. */
import { dirname } from "node:path";
import { BundleScript } from "./bundle-script.ts";

const script = new BundleScript(dirname(process.argv[1] as string));
if (script.cacheRejected)
  process.stderr.write(
    "The stored code is of another version of Node.js or for other flags; it is compiled anew. Run the build again.\n",
  );
script.run();
