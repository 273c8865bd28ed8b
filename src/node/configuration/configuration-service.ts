/**
 * This node's copy of the configuration. Every message between processes contains the sender's configuration version.
 * If that version is newer, the node fetches the entries from the sender, so only a few nodes read the platform's
 * table.
 */
import { ConfigurationChain } from "../../coordination/configuration-chain/index.ts";
import { requestError } from "../../errors/tulipwheel-error.ts";
import type {
  ApplyConfigurationRequest,
  ApplyConfigurationResponse,
  ConfigurationEntry,
  FetchConfigurationResponse,
  ReadConfigurationResponse,
} from "../../messages/rpc-messages.ts";
import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { EffectivePolicy } from "../../scheduling/policy/effective-policy.ts";
import { parseYaml } from "../../settings/parse-yaml.ts";
import { resolvePolicy } from "../../settings/templates/resolve-policy.ts";
import {
  type ConfigurationDocument,
  configurationDocumentSchema,
  keyOfDocument,
  type RunnerDocument,
  runnerKey,
  type TemplateDocument,
  type TenantDocument,
  templateKey,
  tenantKey,
} from "../../settings/templates/template-schema.ts";
import type { NodeContext } from "../node-context.ts";
import type { ConfigurationTable } from "./configuration-table.ts";

const MAX_FETCHED_ENTRIES = 200;
/** Mean time between two polls of the table, counted over all nodes, in ms. */
const TABLE_POLL_INTERVAL_MS = 50;
const FETCH_TIMEOUT_MS = 1_000;

/** Follows the chain of configuration entries, resolves policies from it and applies changes to it. */
export class ConfigurationService {
  readonly #context: NodeContext;
  readonly #rpc: RpcEndpoint;
  readonly #table: ConfigurationTable;
  readonly #chain = new ConfigurationChain<ConfigurationEntry>();
  /** The parsed newest content of each key. */
  readonly #documents = new Map<string, ConfigurationDocument>();
  readonly #policies = new Map<string, EffectivePolicy>();
  #fetching = false;
  #hasCaughtUp = false;
  #stopped = false;
  /** Called with each new version, so that it can be announced to other nodes. */
  onNewVersion: (version: number) => void = () => undefined;
  /** Returns the number of nodes that share the polling of the table. */
  nodeCount: () => number = () => 1;

  constructor(context: NodeContext, rpc: RpcEndpoint, table: ConfigurationTable) {
    this.#context = context;
    this.#rpc = rpc;
    this.#table = table;
    rpc.handle("fetchConfiguration", async ({ afterVersion }) => this.#entriesAfter(afterVersion));
    rpc.handle("applyConfiguration", (request) => this.#apply(request));
    rpc.handle("readConfiguration", async ({ prefix }) => this.#read(prefix));
  }

  /** The version of the configuration that this node uses. */
  get version(): number {
    return this.#chain.version;
  }

  /** Whether this node had the newest version at least once. Until then, it must not serve any requests. */
  get ready(): boolean {
    return this.#hasCaughtUp;
  }

  /** Starts following the chain. */
  start(): void {
    void this.#poll().finally(() => this.#schedulePoll());
  }

  /** Stops following the chain. */
  stop(): void {
    this.#stopped = true;
  }

  /** Handles the configuration version that the sender of a message has. */
  onPeerVersion(version: number, address: string): void {
    if (version > this.#chain.version) void this.#fetchFromPeer(address);
  }

  /** Returns the policy of a tenant's template. Throws `unknown-template` if there is none. */
  policyOf(tenant: string, template: string): EffectivePolicy {
    const policy = this.findPolicy({ tenant, template });
    if (!policy) throw requestError("unknown-template", `Tenant ${tenant} has no template ${template}.`);
    return policy;
  }

  /** Returns the policy of a tenant's template, if there is one. */
  findPolicy({ tenant, template }: { tenant: string; template: string }): EffectivePolicy | undefined {
    const cacheKey = `${tenant}/${template}`;
    const cached = this.#policies.get(cacheKey);
    if (cached) return cached;
    const templateDocument = this.#documents.get(templateKey(template)) as TemplateDocument | undefined;
    const tenantDocument = this.#documents.get(tenantKey(template, tenant)) as TenantDocument | undefined;
    if (!templateDocument || !tenantDocument) return undefined;
    const policy = resolvePolicy(templateDocument, tenantDocument);
    this.#policies.set(cacheKey, policy);
    return policy;
  }

  /** Returns whether an operator has set a runner to draining, so that it gets no more work. */
  isRunnerDrained(runner: string): boolean {
    const document = this.#documents.get(runnerKey(runner)) as RunnerDocument | undefined;
    return document?.draining ?? false;
  }

  /**
   * Schedules the next poll of the table. The interval of each node grows with the number of nodes, so that the load on
   * the table stays about constant. The first node that reads a change announces it to the others.
   */
  #schedulePoll(): void {
    const { clock, random, settings } = this.#context;
    const { configurationMs } = settings.timing;
    const meanMs = Math.max(configurationMs, this.nodeCount() * TABLE_POLL_INTERVAL_MS);
    const delayMs = this.#hasCaughtUp ? meanMs * (0.5 + random.unit()) : configurationMs;
    clock.schedule(delayMs, () => {
      if (!this.#stopped) void this.#poll().finally(() => this.#schedulePoll());
    });
  }

  async #poll(): Promise<void> {
    if (this.#fetching) return;
    this.#fetching = true;
    try {
      const newest = await this.#table.newestVersion();
      while (this.#chain.version < newest) {
        const added = this.#extend(await this.#table.entriesAfter(this.#chain.version));
        if (added === 0) break;
      }
      this.#hasCaughtUp ||= this.#chain.version >= newest;
    } catch {
      // The table did not respond. New versions still arrive from peers.
    } finally {
      this.#fetching = false;
    }
  }

  async #fetchFromPeer(address: string): Promise<void> {
    if (this.#fetching) return;
    this.#fetching = true;
    try {
      const body = { afterVersion: this.#chain.version };
      const reply = await this.#rpc.ask(address, "fetchConfiguration", body, FETCH_TIMEOUT_MS);
      if (reply.type === "done") this.#extend(reply.body.entries);
    } finally {
      this.#fetching = false;
    }
  }

  #extend(entries: readonly ConfigurationEntry[]): number {
    const added = this.#chain.extend(entries);
    if (added.length === 0) return 0;
    for (const { key, content } of added) {
      if (content === undefined) this.#documents.delete(key);
      else this.#documents.set(key, parseDocument(content));
    }
    this.#policies.clear();
    this.#context.transport.configurationVersion = this.#chain.version;
    this.#context.log.info(
      { version: this.#chain.version, keys: added.map((entry) => entry.key) },
      "configuration in force",
    );
    this.onNewVersion(this.#chain.version);
    return added.length;
  }

  #entriesAfter(version: number): FetchConfigurationResponse {
    return {
      entries: this.#chain.entriesAfter(version, MAX_FETCHED_ENTRIES),
      newestVersion: this.#chain.version,
    };
  }

  #read(prefix: string): ReadConfigurationResponse {
    return { entries: this.#chain.historyOf(prefix), version: this.#chain.version };
  }

  async #apply(request: ApplyConfigurationRequest): Promise<ApplyConfigurationResponse> {
    if (request.content !== undefined) checkContent(request.key, request.content);
    const response = await this.#table.apply(request);
    await this.#poll();
    return response;
  }
}

function parseDocument(content: string): ConfigurationDocument {
  return parseYaml(content, "document", configurationDocumentSchema, "invalid-template")[0].value;
}

/** Repeats the check of the command line, because requests may also come from other clients. */
function checkContent(key: string, content: string): void {
  const document = parseDocument(content);
  if (keyOfDocument(document) === key) return;
  throw requestError(
    "invalid-template",
    `The document belongs under ${keyOfDocument(document)}, not ${key}.`,
  );
}
