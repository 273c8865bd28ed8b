import { createHash } from "node:crypto";
import type { CallContext } from "../../ports/call-protocol.ts";
import type { RequestFingerprint } from "../../scheduling/ids/request-fingerprint.ts";
import type { TenantName } from "../../scheduling/ids/tenant-name.ts";

/** Separates the parts of a request that are hashed; no header or path contains it. */
const SEPARATOR = "\0";
/** Characters of the digest that are kept, 6 bits each. */
const FINGERPRINT_LENGTH = 22;

/** The parts of a request that stay the same when its caller sends it again. */
export interface RepeatedContent {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Uint8Array;
  readonly call: CallContext;
  readonly tenant: TenantName | undefined;
}

/** Returns the fingerprint of a request. Identifiers of tries, times and the place where a stream is taken up are left out. */
export function fingerprintOf({ method, target, body, call, tenant }: RepeatedContent): RequestFingerprint {
  const { program, affinityKey, model } = call;
  const parts = [method, target, tenant, affinityKey, model];
  const programParts = [program?.id, program?.session, program?.previousTurn];
  const hash = createHash("sha256");
  hash.update([...parts, ...programParts].map((part) => part ?? "").join(SEPARATOR));
  hash.update(SEPARATOR);
  hash.update(body);
  return hash.digest("base64url").slice(0, FINGERPRINT_LENGTH) as RequestFingerprint;
}
