import type { RouteKind } from "./routing-configuration.ts";

/** What of a call decides between the pools of its route. */
interface KeyedCall {
  readonly requestId: string;
  readonly affinityKey: string | undefined;
  readonly program: { readonly id: string } | undefined;
}

/**
 * What a call is spread over the pools of its route by: a program's turns stay where its prompts are cached, and calls
 * about one object stay where it is known. All others are spread one by one, so that a pool gets its share also where
 * programs are few.
 */
export function poolSelectionKey(kind: RouteKind, { requestId, affinityKey, program }: KeyedCall): string {
  const programId = kind === "streaming" ? program?.id : undefined;
  return programId ?? affinityKey ?? requestId;
}
