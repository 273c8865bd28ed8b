/** Why a call gets no place. */
export type PlaceRefusalReason =
  /** It would wait longer than it can. */
  | "wait-too-long"
  /** No dispatcher decides on it, and by the load that its own gateway knows, it would wait longer than it can. */
  | "wait-too-long-alone"
  /** It is the first turn of a program that would make the programs that have begun late. */
  | "program-too-late"
  /** It has waited as long as it can: the forecast was wrong. */
  | "waited-in-vain"
  /** No runner can take it. */
  | "no-runner"
  /** Too many calls wait already. */
  | "queue-full";
