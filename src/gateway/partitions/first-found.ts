import type { TurnLookup } from "./turn-lookup.ts";

/**
 * Resolves with the first lookup that finds the turn. If none does, resolves once all have ended: with the first
 * `unavailable` result if there is one, since the turn may exist there, and with `noSuchTurn` otherwise.
 */
export function firstFound(lookups: readonly Promise<TurnLookup>[]): Promise<TurnLookup> {
  return new Promise((resolve) => {
    const ended = lookups.map(async (pending) => {
      const lookup = await pending;
      if (lookup.type === "found") resolve(lookup);
      return lookup;
    });
    void Promise.all(ended).then((all) =>
      resolve(all.find(({ type }) => type === "unavailable") ?? { type: "noSuchTurn" }),
    );
  });
}
