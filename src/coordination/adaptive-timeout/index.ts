export { AdaptiveTimeout } from "./adaptive-timeout.ts";
