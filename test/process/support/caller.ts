/** A node's response to a request. */
export interface Reply {
  readonly status: number;
  readonly headers: Headers;
  readonly text: string;
}

/** An HTTP client that sends one tenant's requests to one node. */
export class Caller {
  readonly #address: string;
  readonly #tenant: string;

  constructor(address: string, tenant = "magnolia") {
    this.#address = address;
    this.#tenant = tenant;
  }

  /** Sends a request. */
  async send(
    method: string,
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
  ): Promise<Reply> {
    const response = await fetch(`http://${this.#address}${path}`, {
      method,
      headers: { "tulipwheel-tenant": this.#tenant, ...headers },
      body: body === undefined ? null : typeof body === "string" ? body : JSON.stringify(body),
    });
    return { status: response.status, headers: response.headers, text: await response.text() };
  }

  /** Opens a program and returns its identifier. */
  async open(template: string, extra: object = {}): Promise<string> {
    const reply = await this.send("POST", "/v1/programs", { template, ...extra });
    if (reply.status !== 201)
      throw new Error(`Opening a program failed with status ${reply.status}: ${reply.text}`);
    return (JSON.parse(reply.text) as { id: string }).id;
  }

  /** Sends a chat completion request: one turn of a program. */
  chat(
    program: string,
    content: string,
    extra: object = {},
    headers: Record<string, string> = {},
  ): Promise<Reply> {
    const body = { model: "agent-llm", messages: [{ role: "user", content }], ...extra };
    return this.send("POST", "/v1/chat/completions", body, { "tulipwheel-program": program, ...headers });
  }

  /** Calls a service. */
  service(
    program: string,
    method: string,
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
  ) {
    return this.send(method, `/v1/services/pay-api${path}`, body, {
      "tulipwheel-program": program,
      ...headers,
    });
  }

  /** Returns the texts of the messages in a program's history. */
  async history(program: string): Promise<string[]> {
    const reply = await this.send("GET", `/v1/programs/${program}/history`);
    const { messages } = JSON.parse(reply.text) as { messages: { content: string }[] };
    return messages.map(({ content }) => content);
  }
}

/** Returns the text of an answer that was not streamed. */
export function answerOf(reply: Reply): string {
  const body = JSON.parse(reply.text) as { choices: { message: { content: string } }[] };
  return body.choices[0].message.content;
}

/** Returns the text of a streamed answer. Throws if the stream lacks its end marker. */
export function streamedAnswerOf(reply: Reply): string {
  const events = reply.text.split("\n\n").filter((event) => event !== "");
  if (events.at(-1) !== "data: [DONE]") throw new Error(`The stream did not end: ${reply.text.slice(-300)}`);
  const chunks = events.slice(0, -1).map((event) => JSON.parse(event.slice("data: ".length)));
  return chunks.map((chunk) => chunk.choices[0]?.delta.content ?? "").join("");
}

/** Returns the problem details of an error response. */
export function problemOfReply(reply: Reply): {
  kind: string;
  outcome: string;
  remedy: string;
  detail: string;
} {
  return JSON.parse(reply.text);
}
