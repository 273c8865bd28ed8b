import type { ServiceAnswer, ServiceRequest } from "../../scheduling/program/records.ts";

/** The result of a call to a service. */
export type ServiceResult =
  | { readonly type: "answered"; readonly answer: ServiceAnswer }
  /** The request was not sent: no byte of it can have reached the service. */
  | { readonly type: "not-sent"; readonly detail: string }
  /** The call failed, but the request may have reached the service. */
  | { readonly type: "unknown"; readonly detail: string };

/** Client of tool and application services. */
export interface ServiceClient {
  /** Sends a request to one machine of the service. Never throws, and never sends twice. */
  send(address: string, request: ServiceRequest, callId: string, timeoutMs: number): Promise<ServiceResult>;
}
