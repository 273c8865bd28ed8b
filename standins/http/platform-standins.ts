import type { Machine } from "../../src/ports/machine-list/machine-list.ts";
import type { Transaction } from "../../src/ports/table/table-store.ts";
import type { WeightSet } from "../../src/ports/weights/weight-store.ts";
import { MachineListModel, type MachineListModelOptions } from "../machine-list/machine-list-model.ts";
import { ObjectModel } from "../objects/object-model.ts";
import { ServiceModel } from "../service/service-model.ts";
import { TableModel } from "../table/table-model.ts";
import { HttpStandin, parseJsonBody, type StandinAnswer, type StandinRequest } from "./http-standin.ts";

const OK = 200;
const CONFLICT = 409;

/** Serves the table over HTTP. */
export function tableStandin(model: TableModel = new TableModel()): HttpStandin {
  return new HttpStandin((request) => {
    if (request.path === "/transactions") return transact(model, request);
    if (request.path === "/rows") return { status: OK, body: listRows(model, request) };
    if (request.path.startsWith("/rows/"))
      return { status: OK, body: model.get(keyAfterPrefix(request, "/rows/")) };
    return undefined;
  });
}

/** Serves the machine list over HTTP. */
export function machineListStandin(options: MachineListModelOptions = {}): {
  standin: HttpStandin;
  model: MachineListModel;
} {
  const model = new MachineListModel(options);
  const standin = new HttpStandin((request) => {
    if (request.path === "/machines") return { status: OK, body: model.read(performance.now()) };
    if (!request.path.startsWith("/machines/")) return undefined;
    const machine = parseJsonBody<Machine>(request);
    if (machine.kind === "node") model.report(machine, performance.now());
    else model.put(machine, performance.now());
    return { status: OK };
  });
  return { standin, model };
}

/** Serves the object store over HTTP. */
export function objectStandin(model: ObjectModel = new ObjectModel()): HttpStandin {
  return new HttpStandin((request) => {
    if (request.path === "/objects")
      return { status: OK, body: model.list(request.query.get("prefix") ?? "") };
    if (!request.path.startsWith("/objects/")) return undefined;
    return handleObjectRequest(model, request, keyAfterPrefix(request, "/objects/"));
  });
}

/** Serves a service over HTTP. `GET /ledger` returns the requests that it has executed. */
export function serviceStandin(model: ServiceModel = new ServiceModel()): HttpStandin {
  return new HttpStandin((request) => {
    if (request.path === "/ledger") return { status: OK, body: model.ledger };
    const reply = model.execute({
      method: request.method,
      path: request.path,
      body: request.body.toString("utf8"),
      callId: String(request.headers["tulipwheel-call-id"] ?? ""),
      idempotencyKey: String(request.headers["idempotency-key"] ?? ""),
    });
    return { status: reply.status, bytes: Buffer.from(reply.body), contentType: reply.contentType };
  });
}

/** Serves the weight store over HTTP, at `GET /weights`. */
export function weightStandin(weights: readonly WeightSet[]): HttpStandin {
  return new HttpStandin((request) =>
    request.path === "/weights" ? { status: OK, body: weights } : undefined,
  );
}

function transact(model: TableModel, request: StandinRequest): StandinAnswer {
  const result = model.transact(parseJsonBody<Transaction>(request));
  if (result.type === "committed") return { status: OK, body: {} };
  return { status: CONFLICT, body: { rows: result.rows } };
}

function listRows(model: TableModel, { query }: StandinRequest) {
  return model.list(
    query.get("prefix") ?? "",
    query.get("after") ?? "",
    Number(query.get("limit") ?? "1000"),
  );
}

function handleObjectRequest(
  model: ObjectModel,
  request: StandinRequest,
  key: string,
): StandinAnswer | undefined {
  switch (request.method) {
    case "PUT":
      return model.put(key, request.body) ? { status: OK } : { status: CONFLICT, body: { error: "exists" } };
    case "DELETE":
      model.remove(key);
      return { status: OK };
    default: {
      const bytes = model.get(key);
      return bytes && { status: OK, bytes, contentType: "application/octet-stream" };
    }
  }
}

function keyAfterPrefix(request: StandinRequest, prefix: string): string {
  return decodeURIComponent(request.path.slice(prefix.length));
}
