export { AdaptiveTimeout, type TimeoutBounds } from "./adaptive-timeout.ts";
