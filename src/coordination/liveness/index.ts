export { type LivenessOptions, PeerLiveness } from "./peer-liveness.ts";
