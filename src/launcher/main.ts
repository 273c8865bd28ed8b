/** Entry point of the gateway: loads the bundle with its code cache and runs it. */
import { dirname } from "node:path";
import { setFlagsFromString } from "node:v8";
import { BundleScript } from "./bundle-script.ts";

/**
 * Bytes of bytecode that a function executes before V8 may optimize it. A gateway serves only a few thousand requests in
 * its lifetime, so the optimizing compiler costs more time than it saves. The flag is set after everything is loaded: on
 * the command line it would make Node.js reject the code cache of its own modules, which costs 25 ms of a 110 ms start.
 */
const INTERRUPT_BUDGET_BYTES = 2_000_000;

const script = new BundleScript(dirname(process.argv[1] as string));
if (script.cacheRejected)
  process.stderr.write(
    "The code cache was made by another Node.js version or with other flags; the bundle is compiled from source. Run the build again.\n",
  );
script.run();
setFlagsFromString(`--interrupt-budget=${INTERRUPT_BUDGET_BYTES}`);
