/**
 * Identifiers of programs and calls.
 *
 * A program and all its descendants are stored on one shard, so that forking a history and limiting a family of
 * programs needs no coordination between shards. `prog-x7…` is a root program, `prog-x7….a2` a child of it, and
 * `prog-x7…~k9` a call.
 */
const CHILD_SEPARATOR = ".";
const CALL_SEPARATOR = "~";

/** Returns the identifier of a new root program. */
export function rootProgramId(token: string): string {
  return `prog-${token}`;
}

/** Returns the identifier of a new child of `parent`. */
export function childProgramId(parent: string, token: string): string {
  return `${parent}${CHILD_SEPARATOR}${token}`;
}

/** Returns the identifier of a call of `program`. */
export function callId(program: string, token: string): string {
  return `${program}${CALL_SEPARATOR}${token}`;
}

/** Returns the identifier of the program that a call belongs to. */
export function programOfCall(call: string): string {
  return call.split(CALL_SEPARATOR, 1)[0];
}

/** Returns the identifier of a program's root program, which determines the shard of the whole family. */
export function rootOfProgram(program: string): string {
  return program.split(CHILD_SEPARATOR, 1)[0];
}

const PROGRAM_PATTERN = /^prog-[a-z0-9]{4,40}(\.[a-z0-9]{1,20}){0,16}$/;
const CALL_PATTERN = /^prog-[a-z0-9]{4,40}(\.[a-z0-9]{1,20}){0,16}~[A-Za-z0-9_-]{1,80}$/;

/** Whether a text has the format of a program identifier. */
export function isProgramId(text: string): boolean {
  return PROGRAM_PATTERN.test(text);
}

/** Whether a text has the format of a call identifier. */
export function isCallId(text: string): boolean {
  return CALL_PATTERN.test(text);
}
