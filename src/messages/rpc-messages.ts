import type { Problem } from "../errors/problem.ts";
import type { Machine } from "../ports/machine-list/machine-list.ts";
import type { Decision } from "../scheduling/decision/decision.ts";
import type { ApplyResult } from "../scheduling/program/program-table.ts";
import type { EndReason, ForkPoint, ProgramRecord } from "../scheduling/program/records.ts";
import type { ShardCommand } from "../scheduling/shard-state.ts";

/** Opens a program. Idempotent: a repeated request with the same identifier has no effect. */
export interface OpenProgramRequest {
  readonly program: string;
  readonly tenant: string;
  readonly template: string;
  readonly parent: ForkPoint | undefined;
  /** Time until the deadline, in ms from the time of sending. */
  readonly deadlineMs: number | undefined;
}

/** A program with its calls, refusals and history. */
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
  /** The request is refused if the program belongs to another tenant; undefined for operators. */
  readonly tenant: string | undefined;
}

/** Reads the scheduling decision about a call or a program. */
export interface ReadDecisionRequest {
  readonly subject: string;
  readonly tenant: string | undefined;
}

/** A decision, and the current state of the call or program that it is about. */
export interface DecisionView {
  readonly decision: Decision;
  readonly state: "running" | "answered" | "failed" | "refused" | "open" | "ended";
  readonly problem: Problem | undefined;
}

/**
 * The nodes, shards and runners of the cluster, from which a process finds the leader of a shard or the home of a runner.
 */
export interface ClusterView {
  readonly shardCount: number;
  readonly configurationVersion: number;
  readonly nodes: readonly NodeView[];
  readonly shards: readonly ShardView[];
  readonly runners: readonly RunnerStatus[];
}

/** One node of the cluster. */
export interface NodeView {
  readonly instance: string;
  readonly address: string;
  readonly zone: string;
  readonly leaving: boolean;
}

/** State of one shard, as known to the responding node. */
export interface ShardView {
  readonly shard: number;
  readonly role: string;
  readonly term: number;
  readonly leader: string | undefined;
  readonly replicas: readonly string[];
  readonly programs: number;
}

/** State of one runner, as known to the responding node. */
export interface RunnerStatus {
  readonly runner: string;
  readonly pool: string;
  readonly zone: string;
  readonly home: string | undefined;
  readonly leaving: boolean;
  readonly slots: number;
  readonly expectedWaitMs: number;
}

/** Requests a loan of tokens from the shard that holds the budget's ledger. */
export interface BorrowRequest {
  readonly budget: string;
  readonly tenant: string;
  readonly template: string;
  readonly borrower: string;
  readonly wantedTotal: number;
}

/** The total that the borrower has been granted so far. */
export interface BorrowResponse {
  readonly grantedTotal: number;
}

/** Reports to the ledger how much a borrower has returned and spent in total. */
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

/** The name of a budget in its current window. */
export interface NameBudgetResponse {
  readonly budget: string;
}

/** State of a budget in its ledger; amounts in tokens. */
export interface BudgetView {
  readonly budget: string;
  readonly limit: number;
  readonly lent: number;
  readonly spentReported: number;
  readonly borrowers: readonly { readonly borrower: string; readonly lent: number; readonly spent: number }[];
}

/** Requests the configuration entries that are newer than the requester's version. */
export interface FetchConfigurationRequest {
  readonly afterVersion: number;
}

/** One accepted configuration change. */
export interface ConfigurationEntry {
  readonly version: number;
  /** Identifier chosen by the client that applied the change. A change with a known identifier is not applied again. */
  readonly change: string;
  readonly atMs: number;
  readonly key: string;
  /** New content of the key; undefined if the key was removed. */
  readonly content: string | undefined;
}

/** Configuration entries in order of their version. */
export interface FetchConfigurationResponse {
  readonly entries: readonly ConfigurationEntry[];
  readonly newestVersion: number;
}

/** Applies a configuration change. */
export interface ApplyConfigurationRequest {
  readonly change: string;
  readonly key: string;
  readonly content: string | undefined;
  /** Version of the key on which the change is based; 0 for a new key. */
  readonly baseVersion: number;
}

/** Confirms that the change was accepted. */
export interface ApplyConfigurationResponse {
  readonly version: number;
  readonly alreadyApplied: boolean;
}

/** Reads the history of all keys with a prefix. */
export interface ReadConfigurationRequest {
  readonly prefix: string;
}

/** Entries that changed the keys, oldest first. */
export interface ReadConfigurationResponse {
  readonly entries: readonly ConfigurationEntry[];
  readonly version: number;
}

/** Requests that a node transfer its work to other nodes and leave the cluster. */
export interface DrainNodeRequest {
  readonly reason: string;
}

/** Changes the log level of a process. */
export interface SetLogLevelRequest {
  readonly level: string;
}

/** Requests the list of machines; `digest` identifies the content that the requester already has. */
export interface FetchMachinesRequest {
  readonly digest: string;
}

/** The difference between two versions of the list of machines. */
export interface MachineChanges {
  /** Whether the changes apply to an empty list instead of the requester's content. */
  readonly whole: boolean;
  readonly put: readonly Machine[];
  readonly removed: readonly string[];
}

/** The list of machines; only the difference if the responding node knows the requester's content. */
export interface FetchMachinesResponse {
  readonly digest: string;
  /** Time since a node read this content from the platform's list, in ms. */
  readonly ageMs: number;
  readonly changes: MachineChanges;
}

/** Requests that a node recover a shard from the object store after all its replicas were lost. */
export interface RecoverShardRequest {
  readonly shard: number;
}

/** Reports the state with which the recovered shard starts. */
export interface RecoverShardResponse {
  readonly generation: number;
  /** Number of recovered programs. */
  readonly programs: number;
  readonly lastIndex: number;
}

/**
 * Asks whether a node holds a replica of a shard. With `adopt`, the node first starts its replica of a recovered shard, if
 * the table lists it among the shard's replicas.
 */
export interface ShardPresenceRequest {
  readonly shard: number;
  readonly adopt: boolean;
}

/** Whether the node holds a voting replica, and its generation. */
export interface ShardPresenceResponse {
  readonly instance: string;
  readonly holds: boolean;
  readonly generation: number;
}

/** Asks which programs no longer need their cache: they have ended, or paused longer than their template retains it. */
export interface FindGoneRequest {
  readonly programs: readonly string[];
}

/** The programs whose cache may be freed. */
export interface FindGoneResponse {
  readonly gone: readonly string[];
}

/** Commits a command on a shard. Sent by a node that still executes a call but no longer leads the call's shard. */
export interface CommitRequest {
  readonly shard: number;
  readonly command: ShardCommand;
}

/** The result of applying the command. */
export interface CommitResponse {
  readonly result: ApplyResult;
}

/** Asks whether a node still executes a call. Sent by a new leader. */
export interface QueryCallRequest {
  readonly call: string;
  readonly attempt: number;
}

/** Whether the node still executes the call. */
export interface QueryCallResponse {
  readonly running: boolean;
}

/** A body without fields. */
export type Empty = Record<string, never>;

/** Body types of every request and its response, by the request's name. */
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

/** Name of an RPC request. */
export type RpcName = keyof RpcSchema;

/** The shape of every RPC schema: request and response types by name. */
export type RpcSchemaShape<Schema> = {
  readonly [Name in keyof Schema]: { request: unknown; response: unknown };
};

/** Identifier chosen by the requester and returned unchanged. A string is allowed because earlier builds send strings. */
export type RpcId = number | string;

/** An RPC request as sent between processes. */
export interface RpcRequest<Schema extends RpcSchemaShape<Schema> = RpcSchema> {
  readonly type: "rpcRequest";
  readonly id: RpcId;
  readonly name: keyof Schema;
  readonly body: Schema[keyof Schema]["request"];
}

/** The outcome of an RPC request. */
export type RpcResult<Schema extends RpcSchemaShape<Schema> = RpcSchema> =
  | { readonly type: "done"; readonly body: Schema[keyof Schema]["response"] }
  | { readonly type: "problem"; readonly problem: Problem }
  /** The receiver does not lead the shard that the request addresses. */
  | { readonly type: "redirect"; readonly leader: string | undefined };

/** An RPC response as sent between processes. */
export interface RpcResponse<Schema extends RpcSchemaShape<Schema> = RpcSchema> {
  readonly type: "rpcResponse";
  readonly id: RpcId;
  readonly result: RpcResult<Schema>;
}
