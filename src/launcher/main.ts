/** Starts the gateway's bundle; see bundle-script.ts. */
import { dirname } from "node:path";
import { setFlagsFromString } from "node:v8";
import { BundleScript } from "./bundle-script.ts";

/**
 * Bytes of bytecode that a function runs before it may be optimized. A gateway serves some thousand requests in its life:
 * the optimizing compiler costs more than it saves. Set only once everything is loaded: given on the command line, it
 * makes Node.js refuse the compiled code of its own modules, which costs a start 25 ms of 110.
 */
const INTERRUPT_BUDGET_BYTES = 2_000_000;

const script = new BundleScript(dirname(process.argv[1] as string));
if (script.cacheRejected)
  process.stderr.write(
    "The stored code is of another version of Node.js or for other flags; it is compiled anew. Run the build again.\n",
  );
script.run();
setFlagsFromString(`--interrupt-budget=${INTERRUPT_BUDGET_BYTES}`);
