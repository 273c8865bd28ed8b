import type { RouteKind } from "./routing-configuration.ts";

/** The parts of a call that determine the pool among those of its route. */
interface KeyedCall {
  readonly requestId: string;
  readonly affinityKey: string | undefined;
  readonly program: { readonly id: string } | undefined;
}

/**
 * Returns the key that is hashed to choose the pool of a call. The streaming turns of a program go to the same pool, where
 * its prompts are cached, and calls with the same affinity key go to the same pool, where their object is known. All other
 * calls are distributed individually, so that each pool gets its share even if there are few programs.
 */
export function poolSelectionKey(kind: RouteKind, { requestId, affinityKey, program }: KeyedCall): string {
  const programId = kind === "streaming" ? program?.id : undefined;
  return programId ?? affinityKey ?? requestId;
}
