/** One run of a simulated call: what the runner answers, how it frames that, and where and how it breaks off. */
import type { SeededRandomSource } from "../../../src/runtime/random-source.ts";

/** The last part of a run that the gateway's connection shows. */
export type RunEnd =
  /** The end that the framing asks for. */
  | "framed"
  /** The connection ends in order. */
  | "fin"
  | "reset";

/** A drawn run. */
export interface DrawnRun {
  /** Whether nothing but the end of the connection tells the end of the answer. */
  readonly isUnframed: boolean;
  /** The bytes that arrive. */
  readonly sent: string;
  /** Whether all bytes arrive. */
  readonly isWhole: boolean;
  readonly end: RunEnd;
}

const WHOLE_FRACTION = 0.4;
const CUT_FRACTION = 0.7;
const ENDS: readonly RunEnd[] = ["framed", "fin", "reset"];

/** Draws how a run ends that would answer `text`, whose parts of special interest begin at `boundaries`. */
export function drawRun(text: string, boundaries: readonly number[], random: SeededRandomSource): DrawnRun {
  if (random.unit() < WHOLE_FRACTION) return wholeRun(text);
  const isUnframed = random.unit() < 0.5;
  const isCut = random.unit() < CUT_FRACTION;
  const sent = isCut ? text.slice(0, drawCut(text, boundaries, random)) : text;
  const end = ENDS[random.below(ENDS.length)] ?? "fin";
  return { isUnframed, sent, isWhole: sent.length === text.length, end };
}

/** Before everything, at a boundary, or at any byte. */
function drawCut(text: string, boundaries: readonly number[], random: SeededRandomSource): number {
  const atBoundary = boundaries[random.below(boundaries.length)] ?? 0;
  const anywhere = random.below(text.length + 1);
  return [0, atBoundary, anywhere][random.below(3)] ?? 0;
}

/** A run that answers all, with its framing. */
export function wholeRun(text: string): DrawnRun {
  return { isUnframed: false, sent: text, isWhole: true, end: "framed" };
}
