/** Why there is no place for a call. */
export type PlaceRefusalReason =
  /** It would wait longer than it can. */
  | "wait-too-long"
  /** No dispatcher decides on it, and by what its own gateway knows it would wait longer than it can. */
  | "wait-too-long-alone"
  /** It is a program's first turn, and the program would make those that have begun late. */
  | "program-too-late"
  /** It has waited as long as it can: the forecast was wrong. */
  | "waited-in-vain"
  /** No runner can take it. */
  | "no-runner"
  /** Too many calls wait already. */
  | "queue-full";
