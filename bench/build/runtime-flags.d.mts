/** The flags that gateways run with, from deploy/system.toml. */
export function runtimeFlags(): string[];
