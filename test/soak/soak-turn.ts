/** What a turn's request says in a soak. */

/** Most tokens of a turn: that of the four events that the engines make. */
export const MAX_TURN_TOKENS = 40;

/** A turn of a program. */
export interface SoakTurn {
  readonly id: string;
  readonly program: string;
  readonly budget: number;
  /** The turn that it goes on from. */
  readonly previous: string | undefined;
}

/** The headers of a turn. */
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
