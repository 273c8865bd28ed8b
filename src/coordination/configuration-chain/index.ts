export { type ChainEntry, ConfigurationChain } from "./configuration-chain.ts";
