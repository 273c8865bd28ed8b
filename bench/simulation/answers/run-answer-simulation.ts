/**
 * Runs calls of one gateway in virtual time before runners that leave the framing out and break answers off at any byte.
 * What a caller sees as a complete answer must be one.
 */
import type { AnswerObservations } from "./answer-observations.ts";
import { AnswerWorld, TIMEOUT_MS } from "./answer-world.ts";
import { checkAnswers } from "./check-answers.ts";

const CONNECTIONS = 60;
const MAX_PIPELINED = 3;
const CONNECTION_INTERVAL_MS = 5;
/** Fraction of the connections whose caller knows no chunks. */
const OLD_CALLER_FRACTION = 0.3;

/** Runs one simulation; violated guarantees are in `violations`. */
export async function runAnswerSimulation(seed: number): Promise<AnswerObservations> {
  const world = new AnswerWorld(seed);
  const { time, random } = world;
  const observations = { calls: 0, whole: 0, broken: 0, uncertain: 0, unseen: 0, violations: [] };
  for (let count = 0; count < CONNECTIONS; count += 1) {
    const isOld = random.unit() < OLD_CALLER_FRACTION;
    const requests = isOld ? 1 : 1 + random.below(MAX_PIPELINED);
    world.connect(Array.from({ length: requests }, () => world.drawCall(isOld ? "1.0" : "1.1")));
    await time.runUntil(time.nowMs + CONNECTION_INTERVAL_MS);
  }
  await time.runUntil(time.nowMs + 2 * TIMEOUT_MS);
  for (const connection of world.connections) checkAnswers(connection, observations);
  return observations;
}
