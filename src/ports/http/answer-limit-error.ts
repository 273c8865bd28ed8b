/** A server has sent more than an answer may have. */
export class AnswerLimitError extends Error {}
