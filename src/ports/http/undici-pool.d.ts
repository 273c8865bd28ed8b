/**
 * Types of the undici modules that the daemons import directly; its index also loads caches, proxies, mocks and web
 * sockets.
 */
declare module "undici/lib/dispatcher/pool.js" {
  import { Pool } from "undici";

  export default Pool;
}

declare module "undici/lib/dispatcher/client.js" {
  import { Client } from "undici";

  export default Client;
}

declare module "undici/lib/core/connect.js" {
  import { buildConnector } from "undici";

  export default buildConnector;
}
