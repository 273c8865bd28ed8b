/** The parts of undici that the daemons need; its index also loads caches, proxies, mocks and web sockets. */
declare module "undici/lib/dispatcher/pool.js" {
  import { Pool } from "undici";

  export default Pool;
}

declare module "undici/lib/core/connect.js" {
  import { buildConnector } from "undici";

  export default buildConnector;
}
