import { readFileSync } from "node:fs";

/** The flags that gateways run with, from deploy/system.toml: compiled code is only good for the same ones. */
export function runtimeFlags() {
  const [, command] = /^run = "node ([^"]*)"$/m.exec(readFileSync("deploy/system.toml", "utf8")) ?? [];
  return (command ?? "").split(" ").filter((word) => word.startsWith("--"));
}
