import { problemOf, requestError } from "../../errors/tulipwheel-error.ts";
import type { CompletionAnswer, CompletionRequest } from "../../scheduling/program/records.ts";
import type { CallResult, CallSession } from "./call-session.ts";
import { type HttpExchange, problemDocument } from "./http-exchange.ts";
import type { Ingress, MakeCallParameters } from "./ingress.ts";
import { type ChatCompletionBody, chatCompletionSchema, checkBody } from "./request-schemas.ts";

const MS_PER_SECOND = 1_000;

/** Header with the identifier of a call, for later queries about its decision. */
export const CALL_ID_HEADER = "tulipwheel-call-id";

/** The parameters of a call that come from its headers. */
export type CallHeaders = Omit<MakeCallParameters, "request" | "streamed">;

/** Handles `POST /v1/chat/completions`, streamed or not, in the format that OpenAI clients expect. */
export async function handleChatCompletion(
  ingress: Ingress,
  exchange: HttpExchange,
  headers: CallHeaders,
  defaultMaxTokens: number,
): Promise<void> {
  const body = checkBody(chatCompletionSchema, await exchange.json());
  const request = completionRequestOf(body, defaultMaxTokens);
  const writer = new CompletionWriter(exchange, body);
  const session = await ingress.makeCall({ ...headers, request, streamed: body.stream ?? false }, (text) =>
    writer.onText(text),
  );
  writer.start(session);
  exchange.response.on("close", () => session.abandon());
  writer.end(session, await session.result);
}

function completionRequestOf(body: ChatCompletionBody, defaultMaxTokens: number): CompletionRequest {
  return {
    type: "completion",
    model: body.model,
    messages: body.messages.map(({ role, content }) => ({ role, content })),
    maxTokens: body.max_completion_tokens ?? body.max_tokens ?? defaultMaxTokens,
  };
}

/** Writes a completion as a stream or as one response, as the caller requested. */
class CompletionWriter {
  readonly #exchange: HttpExchange;
  readonly #body: ChatCompletionBody;
  readonly #created: number;
  #call = "";
  #started = false;

  constructor(exchange: HttpExchange, body: ChatCompletionBody) {
    this.#exchange = exchange;
    this.#body = body;
    this.#created = Math.floor(Date.now() / MS_PER_SECOND);
  }

  start(session: CallSession): void {
    this.#call = session.call;
  }

  /** Starts the stream with the first text: until then, a refusal can still be sent with its own status. */
  onText(text: string): void {
    if (!this.#body.stream) return;
    if (!this.#started) {
      this.#started = true;
      this.#exchange.startEvents({ [CALL_ID_HEADER]: this.#call });
      this.#sendChunk({ role: "assistant", content: "" }, null);
    }
    this.#sendChunk({ content: text }, null);
  }

  end(session: CallSession, result: CallResult): void {
    if (result.type === "failed") return this.#endFailed(result);
    if (result.answer.type !== "completion") {
      const problem = problemOf("answer-interrupted", `Call ${session.call} is not a completion.`);
      return this.#exchange.sendProblem(problem);
    }
    if (this.#body.stream) this.#endStream(result.answer);
    else this.#sendUnstreamed(result.answer, result.number);
  }

  #endFailed(result: Extract<CallResult, { type: "failed" }>): void {
    if (!this.#started) return this.#exchange.sendProblem(result.problem);
    this.#exchange.sendEvent(
      JSON.stringify({ error: { message: result.problem.detail, ...problemDocument(result.problem) } }),
    );
    this.#exchange.response.end();
  }

  #endStream(answer: CompletionAnswer): void {
    if (!this.#started) this.onText("");
    this.#sendChunk({}, answer.finishReason);
    if (this.#body.stream_options?.include_usage) {
      this.#exchange.sendEvent(
        JSON.stringify({ ...this.#envelope("chat.completion.chunk"), choices: [], usage: usageOf(answer) }),
      );
    }
    this.#exchange.sendEvent("[DONE]");
    this.#exchange.response.end();
  }

  #sendUnstreamed(answer: CompletionAnswer, number: number): void {
    const message = { role: "assistant", content: answer.text };
    const choice = { index: 0, message, finish_reason: answer.finishReason };
    const body = { ...this.#envelope("chat.completion"), choices: [choice], usage: usageOf(answer) };
    this.#exchange.sendJson(200, body, { [CALL_ID_HEADER]: this.#call, "tulipwheel-call": String(number) });
  }

  #sendChunk(delta: object, finishReason: string | null): void {
    const choices = [{ index: 0, delta, finish_reason: finishReason }];
    this.#exchange.sendEvent(JSON.stringify({ ...this.#envelope("chat.completion.chunk"), choices }));
  }

  #envelope(object: string) {
    return { id: this.#call, object, created: this.#created, model: this.#body.model };
  }
}

function usageOf({ usage }: CompletionAnswer) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
  };
}

/** Returns the program header, which every call must have; throws `invalid-request` if it is missing. */
export function requireProgramHeader(program: string | undefined): string {
  if (program) return program;
  throw requestError(
    "invalid-request",
    "The header Tulipwheel-Program must name the program that the call belongs to.",
  );
}
