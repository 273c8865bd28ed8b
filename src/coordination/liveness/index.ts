export { PeerLiveness } from "./peer-liveness.ts";
