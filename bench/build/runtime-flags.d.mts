/** Returns the Node.js flags of gateways, from deploy/system.toml. */
export function runtimeFlags(): string[];
