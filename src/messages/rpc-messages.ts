import type { Problem } from "../errors/problem.ts";
import type { Machine } from "../ports/machine-list/machine-list.ts";
import type { Decision } from "../scheduling/decision/decision.ts";
import type { ApplyResult } from "../scheduling/program/program-table.ts";
import type { EndReason, ForkPoint, ProgramRecord } from "../scheduling/program/records.ts";
import type { ShardCommand } from "../scheduling/shard-state.ts";

/** Opens a program; repeating it with the same identifier changes nothing. */
export interface OpenProgramRequest {
  readonly program: string;
  readonly tenant: string;
  readonly template: string;
  readonly parent: ForkPoint | undefined;
  /** Time until the deadline, in ms from now. */
  readonly deadlineMs: number | undefined;
}

/** A program, with its calls, refusals and history. */
export interface ProgramView {
  readonly program: ProgramRecord;
}

/** Ends a program. */
export interface EndProgramRequest {
  readonly program: string;
  readonly tenant: string | undefined;
  readonly reason: EndReason;
}

/** Reads a program. */
export interface ReadProgramRequest {
  readonly program: string;
  /** Refused when the program is another tenant's; undefined for operators. */
  readonly tenant: string | undefined;
}

/** Reads why a call or program was treated as it was. */
export interface ReadDecisionRequest {
  readonly subject: string;
  readonly tenant: string | undefined;
}

/** The decision, and how the call stands. */
export interface DecisionView {
  readonly decision: Decision;
  readonly state: "running" | "answered" | "failed" | "refused" | "open" | "ended";
  readonly problem: Problem | undefined;
}

/** What every process needs to find its way. */
export interface ClusterView {
  readonly shardCount: number;
  readonly configurationVersion: number;
  readonly nodes: readonly NodeView[];
  readonly shards: readonly ShardView[];
  readonly runners: readonly RunnerStatus[];
}

/** One node. */
export interface NodeView {
  readonly instance: string;
  readonly address: string;
  readonly zone: string;
  readonly leaving: boolean;
}

/** One shard, as the answering node knows it. */
export interface ShardView {
  readonly shard: number;
  readonly role: string;
  readonly term: number;
  readonly leader: string | undefined;
  readonly replicas: readonly string[];
  readonly programs: number;
}

/** One runner, as the answering node knows it. */
export interface RunnerStatus {
  readonly runner: string;
  readonly pool: string;
  readonly zone: string;
  readonly home: string | undefined;
  readonly leaving: boolean;
  readonly slots: number;
  readonly expectedWaitMs: number;
}

/** Asks the ledger's shard to lend. */
export interface BorrowRequest {
  readonly budget: string;
  readonly tenant: string;
  readonly template: string;
  readonly borrower: string;
  readonly wantedTotal: number;
}

/** The borrower's running total. */
export interface BorrowResponse {
  readonly grantedTotal: number;
}

/** Tells the ledger what a borrower returned and spent. */
export interface ReportLoanRequest {
  readonly budget: string;
  readonly borrower: string;
  readonly returnedTotal: number;
  readonly spentTotal: number;
}

/** Reads a budget. */
export interface ReadBudgetRequest {
  readonly tenant: string;
  readonly template: string;
}

/** The name of a budget in its present window. */
export interface NameBudgetResponse {
  readonly budget: string;
}

/** A budget as its ledger has it; in tokens. */
export interface BudgetView {
  readonly budget: string;
  readonly limit: number;
  readonly lent: number;
  readonly spentReported: number;
  readonly borrowers: readonly { readonly borrower: string; readonly lent: number; readonly spent: number }[];
}

/** Asks a node for configuration entries that the asker lacks. */
export interface FetchConfigurationRequest {
  readonly afterVersion: number;
}

/** One accepted change of configuration. */
export interface ConfigurationEntry {
  readonly version: number;
  /** Chosen by whoever applied it; the same identifier is accepted once. */
  readonly change: string;
  readonly atMs: number;
  readonly key: string;
  /** The new content; undefined when the key was removed. */
  readonly content: string | undefined;
}

/** Entries in order of version. */
export interface FetchConfigurationResponse {
  readonly entries: readonly ConfigurationEntry[];
  readonly newestVersion: number;
}

/** Applies a change of configuration. */
export interface ApplyConfigurationRequest {
  readonly change: string;
  readonly key: string;
  readonly content: string | undefined;
  /** Version of the key that the change was made from; 0 for a new key. */
  readonly baseVersion: number;
}

/** The change is accepted. */
export interface ApplyConfigurationResponse {
  readonly version: number;
  readonly alreadyApplied: boolean;
}

/** Reads a key's history. */
export interface ReadConfigurationRequest {
  readonly prefix: string;
}

/** Entries that touched the keys, oldest first. */
export interface ReadConfigurationResponse {
  readonly entries: readonly ConfigurationEntry[];
  readonly version: number;
}

/** Asks a node to hand its work over and leave. */
export interface DrainNodeRequest {
  readonly reason: string;
}

/** Changes a process's log level. */
export interface SetLogLevelRequest {
  readonly level: string;
}

/** Asks a node for the list of machines; `digest` says which content the asker has. */
export interface FetchMachinesRequest {
  readonly digest: string;
}

/** What turns one list of machines into another. */
export interface MachineChanges {
  /** Whether the changes start from an empty list. */
  readonly whole: boolean;
  readonly put: readonly Machine[];
  readonly removed: readonly string[];
}

/** The list of machines, as a difference where the asker's content is known. */
export interface FetchMachinesResponse {
  readonly digest: string;
  /** Time since somebody read the platform's list for this content, in ms. */
  readonly ageMs: number;
  readonly changes: MachineChanges;
}

/** Asks a node to recover a shard whose replicas are lost, from the object store. */
export interface RecoverShardRequest {
  readonly shard: number;
}

/** The shard starts anew. */
export interface RecoverShardResponse {
  readonly generation: number;
  /** Programs that were recovered. */
  readonly programs: number;
  readonly lastIndex: number;
}

/** Asks whether a node holds a replica of a shard, or tells it to look at the table for a recovered one. */
export interface ShardPresenceRequest {
  readonly shard: number;
  readonly adopt: boolean;
}

/** Whether the node holds a replica that votes, and of which generation. */
export interface ShardPresenceResponse {
  readonly instance: string;
  readonly holds: boolean;
  readonly generation: number;
}

/** Asks which programs need no cache any more: they ended, or pause for longer than their template keeps it. */
export interface FindGoneRequest {
  readonly programs: readonly string[];
}

/** The programs whose cache may go. */
export interface FindGoneResponse {
  readonly gone: readonly string[];
}

/** Commits a command on a shard; sent by a node that carries out a call but no longer leads its shard. */
export interface CommitRequest {
  readonly shard: number;
  readonly command: ShardCommand;
}

/** What became of the command. */
export interface CommitResponse {
  readonly result: ApplyResult;
}

/** A new leader asks whether a node still carries out a call. */
export interface QueryCallRequest {
  readonly call: string;
  readonly attempt: number;
}

/** Whether the call is still being carried out. */
export interface QueryCallResponse {
  readonly running: boolean;
}

/** Nothing to say. */
export type Empty = Record<string, never>;

/** Every request with its response. */
export interface RpcSchema {
  openProgram: { request: OpenProgramRequest; response: ProgramView };
  endProgram: { request: EndProgramRequest; response: ProgramView };
  readProgram: { request: ReadProgramRequest; response: ProgramView };
  readDecision: { request: ReadDecisionRequest; response: DecisionView };
  commit: { request: CommitRequest; response: CommitResponse };
  queryCall: { request: QueryCallRequest; response: QueryCallResponse };
  fetchMachines: { request: FetchMachinesRequest; response: FetchMachinesResponse };
  recoverShard: { request: RecoverShardRequest; response: RecoverShardResponse };
  shardPresence: { request: ShardPresenceRequest; response: ShardPresenceResponse };
  findGone: { request: FindGoneRequest; response: FindGoneResponse };
  readCluster: { request: Empty; response: ClusterView };
  borrow: { request: BorrowRequest; response: BorrowResponse };
  reportLoan: { request: ReportLoanRequest; response: Empty };
  nameBudget: { request: ReadBudgetRequest; response: NameBudgetResponse };
  readBudget: { request: ReadBudgetRequest; response: BudgetView };
  fetchConfiguration: { request: FetchConfigurationRequest; response: FetchConfigurationResponse };
  applyConfiguration: { request: ApplyConfigurationRequest; response: ApplyConfigurationResponse };
  readConfiguration: { request: ReadConfigurationRequest; response: ReadConfigurationResponse };
  drainNode: { request: DrainNodeRequest; response: Empty };
  setLogLevel: { request: SetLogLevelRequest; response: Empty };
}

/** The name of a request. */
export type RpcName = keyof RpcSchema;

/** A list of requests and their responses, by name. */
export type RpcSchemaShape<Schema> = {
  readonly [Name in keyof Schema]: { request: unknown; response: unknown };
};

/** Chosen by whoever asks, and given back as it came: earlier builds send texts. */
export type RpcId = number | string;

/** A request on the wire. */
export interface RpcRequest<Schema extends RpcSchemaShape<Schema> = RpcSchema> {
  readonly type: "rpcRequest";
  readonly id: RpcId;
  readonly name: keyof Schema;
  readonly body: Schema[keyof Schema]["request"];
}

/** How a request ended. */
export type RpcResult<Schema extends RpcSchemaShape<Schema> = RpcSchema> =
  | { readonly type: "done"; readonly body: Schema[keyof Schema]["response"] }
  | { readonly type: "problem"; readonly problem: Problem }
  /** The receiver does not lead the shard that the request is about. */
  | { readonly type: "redirect"; readonly leader: string | undefined };

/** A response on the wire. */
export interface RpcResponse<Schema extends RpcSchemaShape<Schema> = RpcSchema> {
  readonly type: "rpcResponse";
  readonly id: RpcId;
  readonly result: RpcResult<Schema>;
}
