import { fetch } from "undici";

/** Token usage of one turn. */
export interface TurnCost {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Prompt tokens that were prefilled in an earlier turn and had to be prefilled again. */
  readonly prefilledAgain: number;
}

/** A program as seen by its caller: sends its requests and records the answers. */
export class DemoProgram {
  readonly id: string;
  readonly turns: TurnCost[] = [];
  readonly answers: string[] = [];
  readonly calls: string[] = [];
  readonly #address: string;
  readonly #tenant: string;
  readonly #model: string;
  #historyTokens: number;

  constructor(address: string, tenant: string, model: string, id: string, inheritedTokens: number) {
    this.#address = address;
    this.#tenant = tenant;
    this.#model = model;
    this.id = id;
    this.#historyTokens = inheritedTokens;
  }

  /** Number of tokens in the history so far. */
  get historyTokens(): number {
    return this.#historyTokens;
  }

  /** Opens a program, or a child program if a parent is given. */
  static async open(
    address: string,
    tenant: string,
    model: string,
    template: string,
    parent?: { program: DemoProgram; afterCall: number },
  ): Promise<DemoProgram> {
    const body = { template, parent: parent && { program: parent.program.id, afterCall: parent.afterCall } };
    const response = await fetch(`http://${address}/v1/programs`, {
      method: "POST",
      headers: { "tulipwheel-tenant": tenant },
      body: JSON.stringify(body),
    });
    const text = await response.text();
    if (response.status !== 201)
      throw new Error(`Opening ${template} failed with status ${response.status}: ${text}`);
    const { id } = JSON.parse(text) as { id: string };
    return new DemoProgram(address, tenant, model, id, parent?.program.historyTokens ?? 0);
  }

  /** Sends one turn and reads the streamed answer. Throws if the answer is incomplete. */
  async turn(content: string): Promise<void> {
    const response = await this.#send("POST", "/v1/chat/completions", {
      model: this.#model,
      messages: [{ role: "user", content }],
      max_tokens: 200,
      stream: true,
      stream_options: { include_usage: true },
    });
    const text = await response.text();
    if (response.status !== 200)
      throw new Error(`A turn of ${this.id} failed with status ${response.status}: ${text}`);
    this.calls.push(response.headers.get("tulipwheel-call-id") ?? "");
    this.#recordAnswer(text);
  }

  /** Calls a service. Throws if the call was not executed. */
  async service(method: string, path: string, body?: unknown): Promise<void> {
    const response = await this.#send(method, `/v1/services/pay-api${path}`, body);
    const text = await response.text();
    if (response.status !== 200)
      throw new Error(`${method} ${path} failed with status ${response.status}: ${text}`);
  }

  /** Ends the program. */
  async end(): Promise<void> {
    await (await this.#send("DELETE", `/v1/programs/${this.id}`)).text();
  }

  /** Returns the assistant's messages in the program's committed history. */
  async committedAnswers(): Promise<string[]> {
    const response = await this.#send("GET", `/v1/programs/${this.id}/history`);
    const { messages } = (await response.json()) as { messages: { role: string; content: string }[] };
    return messages.filter(({ role }) => role === "assistant").map(({ content }) => content);
  }

  /** Returns the scheduling decision about a call. */
  async explain(call: string): Promise<unknown> {
    return (await this.#send("GET", `/v1/decisions/${call}`)).json();
  }

  #send(method: string, path: string, body?: unknown) {
    return fetch(`http://${this.#address}${path}`, {
      method,
      headers: { "tulipwheel-tenant": this.#tenant, "tulipwheel-program": this.id },
      body: body === undefined ? null : JSON.stringify(body),
    });
  }

  #recordAnswer(stream: string): void {
    const events = stream.split("\n\n").filter((event) => event !== "");
    if (events.at(-1) !== "data: [DONE]")
      throw new Error(`A stream of ${this.id} did not end: ${events.at(-1)}`);
    const chunks = events.slice(0, -1).map((event) => JSON.parse(event.slice("data: ".length)));
    this.answers.push(chunks.map((chunk) => chunk.choices[0]?.delta.content ?? "").join(""));
    const usage = chunks.at(-1).usage;
    const cachedTokens: number = usage.prompt_tokens_details.cached_tokens;
    const prefilledAgain = Math.max(0, Math.min(this.#historyTokens, usage.prompt_tokens) - cachedTokens);
    this.turns.push({ promptTokens: usage.prompt_tokens, cachedTokens, prefilledAgain });
    this.#historyTokens = usage.total_tokens;
  }
}
