import type { ServiceAnswer, ServiceRequest } from "../../scheduling/program/records.ts";

/** How a call to a service ended. */
export type ServiceResult =
  | { readonly type: "answered"; readonly answer: ServiceAnswer }
  /** No byte of the request can have reached the service. */
  | { readonly type: "not-sent"; readonly detail: string }
  /** The request may have reached the service. */
  | { readonly type: "unknown"; readonly detail: string };

/** Calls tool and application services. */
export interface ServiceClient {
  /** Sends a request to one machine of the service. Never throws, and never sends twice. */
  send(address: string, request: ServiceRequest, callId: string, timeoutMs: number): Promise<ServiceResult>;
}
