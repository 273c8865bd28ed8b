/** A server has sent something that HTTP does not allow in an answer, or an answer that is not whole. */
export class InvalidAnswerError extends Error {}
