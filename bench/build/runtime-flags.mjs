import { readFileSync } from "node:fs";

/** Returns the Node.js flags of gateways, from deploy/system.toml: a code cache is valid only for the same flags. */
export function runtimeFlags() {
  const [, command] = /^run = "node ([^"]*)"$/m.exec(readFileSync("deploy/system.toml", "utf8")) ?? [];
  return (command ?? "").split(" ").filter((word) => word.startsWith("--"));
}
