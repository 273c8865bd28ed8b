/** Builds the request headers of a turn in a soak. */

/** Maximum tokens of a turn: those of the four events that the engines generate. */
export const MAX_TURN_TOKENS = 40;

/** A turn of a program. */
export interface SoakTurn {
  readonly id: string;
  readonly program: string;
  readonly budget: number;
  /** Request identifier of the turn that it continues from. */
  readonly previous: string | undefined;
}

/** Returns the request headers of a turn. */
export function turnHeaders({ id, program, budget, previous }: SoakTurn): Record<string, string> {
  return {
    "X-Request-Id": id,
    "X-Program-Id": program,
    "X-Session-Id": `${program}-main`,
    "X-Program-Deadline-Ms": "60000",
    "X-Token-Budget": String(budget),
    "X-Token-Usage": `100,${MAX_TURN_TOKENS}`,
    "X-Model": "m",
    ...(previous === undefined ? {} : { "X-Previous-Turn": previous }),
  };
}
