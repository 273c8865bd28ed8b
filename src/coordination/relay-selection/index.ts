export { type RelayCandidate, selectRelays } from "./select-relays.ts";
