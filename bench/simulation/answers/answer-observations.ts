/** The results of a simulation of answers. */
export interface AnswerObservations {
  calls: number;
  /** Answers that were whole, and those that were broken off or refused. */
  whole: number;
  broken: number;
  /** Plain answers whose end was left open. */
  uncertain: number;
  /** Streams that ended early without anything that shows it. */
  unseen: number;
  /** Violated guarantees. */
  readonly violations: string[];
}
